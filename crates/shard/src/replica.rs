//! State machine of a shard replica.

use std::collections::VecDeque;
use std::time::Duration;

use sumacdrift_program::{
    Command, Effect, Entry, LeaderSettings, Reply, Runner, ShardLeader, ShardState, Step,
};
use sumacdrift_proto::{decode_entries, decode_entry, encode_entries, encode_entry};
use sumacdrift_replication::{
    Action, Configuration, LogEntry, LogIndex, Message, Payload, Replica, ReplicaId, ReplicaSettings, Role,
    Term,
};
use sumacdrift_types::{CallId, ShardId, Timestamp};

use crate::RepairSettings;

/// Settings of a shard replica.
#[derive(Debug, Clone, Copy, Default)]
#[allow(missing_docs)]
pub struct ShardSettings {
    pub replica: ReplicaSettings,
    pub leader: LeaderSettings,
    pub repair: RepairSettings,
}

/// Action for the driver to perform.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub enum ShardOutput {
    /// Send a message to another replica. Loss is tolerated.
    Send { to: ReplicaId, message: Message },
    /// Reply to a command.
    Reply {
        /// Call named by the command.
        call: CallId,
        reply: Reply,
    },
    /// Perform any other effect of a command.
    Effect(Effect),
    /// This replica became the leader.
    BecameLeader { term: Term },
    /// This replica is no longer the leader. Unanswered commands must be retried with its successor.
    LostLeadership,
    /// Committed data could not be decoded, possibly because a newer version wrote it. The replica must be dropped, as
    /// its state would diverge from that of the other replicas.
    Undecodable,
}

/// Error of a command to a replica that is not the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotLeader {
    /// Likely leader, if one is known.
    pub hint: Option<ReplicaId>,
}

/// Interval at which the leader checks leases, retention and dead runners.
const LEADER_TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Replica of a program shard.
#[derive(Debug)]
pub struct ProgramShard {
    pub(crate) id: ShardId,
    pub(crate) own_id: ReplicaId,
    pub(crate) settings: ShardSettings,
    pub(crate) replica: Replica,
    state: ShardState,
    leader: Option<ShardLeader>,
    applied_index: LogIndex,
    outputs: Vec<ShardOutput>,
    next_leader_tick: Timestamp,
    pub(crate) next_repair: Timestamp,
}

impl ProgramShard {
    /// Creates a replica of a new shard whose initial configuration is given.
    pub fn bootstrap(
        id: ShardId,
        own_id: ReplicaId,
        configuration: Configuration,
        settings: ShardSettings,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let replica = Replica::bootstrap(own_id, configuration, settings.replica, seed, now);
        Self::with_replica(id, own_id, replica, settings)
    }

    /// Creates an empty replica that receives its state from the shard's leader.
    pub fn join(id: ShardId, own_id: ReplicaId, settings: ShardSettings, seed: u64, now: Timestamp) -> Self {
        let replica = Replica::join(own_id, settings.replica, seed, now);
        Self::with_replica(id, own_id, replica, settings)
    }

    fn with_replica(id: ShardId, own_id: ReplicaId, replica: Replica, settings: ShardSettings) -> Self {
        Self {
            id,
            own_id,
            settings,
            replica,
            state: ShardState::default(),
            leader: None,
            applied_index: 0,
            outputs: Vec::new(),
            next_leader_tick: Timestamp::default(),
            next_repair: Timestamp::default(),
        }
    }

    /// Shard that this is a replica of.
    pub fn id(&self) -> ShardId {
        self.id
    }

    /// Program state up to the last log entry applied here.
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// Replicated log of the shard.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Number of calls queued on this leader behind an earlier call of their program.
    pub fn waiting_calls(&self) -> usize {
        self.leader.as_ref().map_or(0, ShardLeader::waiting_calls)
    }

    /// Whether the replica was removed from its group, so that it can be dropped.
    pub fn is_removed(&self) -> bool {
        self.replica.role() == Role::Removed
    }

    /// Whether this replica leads and holds the lease to answer from its own state.
    pub fn is_serving(&self, now: Timestamp) -> bool {
        self.leader.is_some() && self.replica.has_lease(now)
    }

    /// Takes the outputs produced since the last call.
    pub fn take_outputs(&mut self) -> Vec<ShardOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Handles a command; an error if this replica is not serving.
    pub fn command(&mut self, command: Command, now: Timestamp) -> Result<(), NotLeader> {
        if !self.is_serving(now) {
            let hint = self.replica.leader().filter(|leader| *leader != self.own_id);
            return Err(NotLeader { hint });
        }
        let Some(leader) = self.leader.as_mut() else { return Err(NotLeader { hint: None }) };
        let step = leader.handle(&self.state, command, now);
        self.run_step(step, now);
        Ok(())
    }

    /// Processes a message from another replica.
    pub fn receive(&mut self, from: ReplicaId, message: Message, now: Timestamp) {
        self.replica.receive(from, message, now);
        self.run_actions(now);
    }

    /// Processes timeouts of replication and, on a serving leader, of the program state.
    pub fn tick(&mut self, now: Timestamp, is_alive: &dyn Fn(Runner) -> bool) {
        self.replica.tick(now);
        self.run_actions(now);
        if now < self.next_leader_tick || !self.is_serving(now) {
            return;
        }
        self.next_leader_tick = now + LEADER_TICK_INTERVAL;
        if let Some(leader) = self.leader.as_mut() {
            let step = leader.tick(&self.state, now, is_alive);
            self.run_step(step, now);
        }
    }

    /// Starts a transfer of leadership to another voter that `eligible` accepts; returns whether one was started.
    pub fn transfer_leadership(&mut self, eligible: &dyn Fn(ReplicaId) -> bool, now: Timestamp) -> bool {
        let target = self.replica.transfer_leadership(eligible, now);
        self.run_actions(now);
        target.is_some()
    }

    /// Emits the outputs of a step and runs the resulting actions.
    fn run_step(&mut self, step: Step, now: Timestamp) {
        self.emit_step(step, now);
        self.run_actions(now);
    }

    fn emit_step(&mut self, step: Step, now: Timestamp) {
        for effect in step.effects {
            self.outputs.push(match effect {
                Effect::Reply { call, reply } => ShardOutput::Reply { call, reply },
                other => ShardOutput::Effect(other),
            });
        }
        if !step.entries.is_empty() {
            let commands = step.entries.iter().map(encode_entry);
            if self.replica.propose(commands, now).is_err() {
                self.reset_leader();
            }
        }
    }

    /// Resets the leader's volatile state after the log rejected a proposal, for example during a leadership transfer:
    /// the entries that it counts as proposed would never be applied. Callers get an error and must retry.
    fn reset_leader(&mut self) {
        self.leader = self.leader.is_some().then(|| ShardLeader::new(self.settings.leader));
        self.outputs.push(ShardOutput::LostLeadership);
    }

    /// Runs replication actions until none remain; applying an entry may add new ones.
    pub(crate) fn run_actions(&mut self, now: Timestamp) {
        let mut actions = VecDeque::from(self.replica.take_actions());
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Send { to, message } => self.outputs.push(ShardOutput::Send { to, message }),
                Action::Apply(entry) => self.apply(&entry, now),
                Action::Restore(data) => self.restore(data),
                Action::TakeSnapshot { to } => {
                    let data = encode_entries(&self.state.to_entries());
                    self.replica.send_snapshot(to, self.applied_index, data, now);
                }
                Action::BecameLeader { term } => self.become_leader(term, now),
                Action::LostLeadership => {
                    self.leader = None;
                    self.outputs.push(ShardOutput::LostLeadership);
                }
            }
            actions.extend(self.replica.take_actions());
        }
    }

    fn apply(&mut self, log_entry: &LogEntry, now: Timestamp) {
        self.applied_index = log_entry.index;
        let Payload::Command(bytes) = &log_entry.payload else { return };
        match decode_entry(bytes.clone()) {
            Ok(entry) => self.apply_entry(&entry, now),
            Err(_) => self.outputs.push(ShardOutput::Undecodable),
        }
    }

    fn apply_entry(&mut self, entry: &Entry, now: Timestamp) {
        match self.leader.as_mut() {
            Some(leader) => {
                let step = leader.apply(&mut self.state, entry, now);
                self.emit_step(step, now);
            }
            None => self.state.apply(entry),
        }
    }

    fn restore(&mut self, data: bytes::Bytes) {
        match decode_entries(data) {
            Ok(entries) => {
                self.state = ShardState::from_entries(&entries);
                self.applied_index = self.replica.committed();
            }
            Err(_) => self.outputs.push(ShardOutput::Undecodable),
        }
    }

    fn become_leader(&mut self, term: Term, now: Timestamp) {
        let mut leader = ShardLeader::new(self.settings.leader);
        let step = leader.take_over(&self.state);
        self.leader = Some(leader);
        self.outputs.push(ShardOutput::BecameLeader { term });
        self.emit_step(step, now);
    }
}

//! A shard's replica.

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

/// Times that a shard's replica works with.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShardSettings {
    /// Replication.
    pub replica: ReplicaSettings,
    /// Program state.
    pub leader: LeaderSettings,
    /// Replacement of lost replicas.
    pub repair: RepairSettings,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardOutput {
    /// Send a message to another replica; it may be lost.
    Send {
        /// To whom.
        to: ReplicaId,
        /// What.
        message: Message,
    },
    /// Answer a command.
    Reply {
        /// The call that the command named.
        call: CallId,
        /// The answer.
        reply: Reply,
    },
    /// Carry out something else.
    Effect(Effect),
    /// This replica leads from now on.
    BecameLeader {
        /// Its term.
        term: Term,
    },
    /// This replica no longer leads; commands that were not answered must be sent to its successor.
    LostLeadership,
    /// Committed bytes could not be read, as a newer version may have written them. The replica must be
    /// dropped, since going on without them would make it differ from the others.
    Undecodable,
}

/// This replica does not lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotLeader {
    /// Who might.
    pub hint: Option<ReplicaId>,
}

/// How often the leader looks at leases, retentions and dead runners.
const LEADER_TICK: Duration = Duration::from_millis(250);

/// One replica of one program shard.
#[derive(Debug)]
pub struct ProgramShard {
    pub(crate) id: ShardId,
    pub(crate) own: ReplicaId,
    pub(crate) settings: ShardSettings,
    pub(crate) replica: Replica,
    state: ShardState,
    leader: Option<ShardLeader>,
    applied: LogIndex,
    outputs: Vec<ShardOutput>,
    next_leader_tick: Timestamp,
    pub(crate) next_repair: Timestamp,
}

impl ProgramShard {
    /// A replica of a shard that is founded with these voters.
    pub fn found(
        id: ShardId,
        own: ReplicaId,
        configuration: Configuration,
        settings: ShardSettings,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let replica = Replica::found(own, configuration, settings.replica, seed, now);
        Self::with_replica(id, own, replica, settings)
    }

    /// A replica that waits for the shard's leader to send it the state.
    pub fn join(id: ShardId, own: ReplicaId, settings: ShardSettings, seed: u64, now: Timestamp) -> Self {
        let replica = Replica::join(own, settings.replica, seed, now);
        Self::with_replica(id, own, replica, settings)
    }

    fn with_replica(id: ShardId, own: ReplicaId, replica: Replica, settings: ShardSettings) -> Self {
        Self {
            id,
            own,
            settings,
            replica,
            state: ShardState::default(),
            leader: None,
            applied: 0,
            outputs: Vec::new(),
            next_leader_tick: Timestamp::default(),
            next_repair: Timestamp::default(),
        }
    }

    /// The shard.
    pub fn id(&self) -> ShardId {
        self.id
    }

    /// The state as far as it is applied here.
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// The replicated log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Calls that wait here for an earlier one of their program.
    pub fn waiting_calls(&self) -> usize {
        self.leader.as_ref().map_or(0, ShardLeader::waiting_calls)
    }

    /// Whether the replica was removed from its group and can be dropped.
    pub fn is_removed(&self) -> bool {
        self.replica.role() == Role::Removed
    }

    /// Whether this replica leads and may answer from its own state.
    pub fn is_serving(&self, now: Timestamp) -> bool {
        self.leader.is_some() && self.replica.has_lease(now)
    }

    /// Takes the outputs that have come together.
    pub fn take_outputs(&mut self) -> Vec<ShardOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Handles a command, if this replica leads.
    pub fn command(&mut self, command: Command, now: Timestamp) -> Result<(), NotLeader> {
        if !self.is_serving(now) {
            let hint = self.replica.leader().filter(|leader| *leader != self.own);
            return Err(NotLeader { hint });
        }
        let Some(leader) = self.leader.as_mut() else { return Err(NotLeader { hint: None }) };
        let step = leader.handle(&self.state, command, now);
        self.perform(step, now);
        Ok(())
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, from: ReplicaId, message: Message, now: Timestamp) {
        self.replica.receive(from, message, now);
        self.run_actions(now);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp, is_alive: &dyn Fn(Runner) -> bool) {
        self.replica.tick(now);
        self.run_actions(now);
        if now < self.next_leader_tick || !self.is_serving(now) {
            return;
        }
        self.next_leader_tick = now + LEADER_TICK;
        if let Some(leader) = self.leader.as_mut() {
            let step = leader.tick(&self.state, now, is_alive);
            self.perform(step, now);
        }
    }

    /// Hands leadership to another voter that `eligible` admits, if this replica leads.
    pub fn transfer_leadership(&mut self, eligible: &dyn Fn(ReplicaId) -> bool, now: Timestamp) -> bool {
        let target = self.replica.transfer_leadership(eligible, now);
        self.run_actions(now);
        target.is_some()
    }

    /// Carries out a step and everything that follows from it.
    fn perform(&mut self, step: Step, now: Timestamp) {
        self.take_step(step, now);
        self.run_actions(now);
    }

    fn take_step(&mut self, step: Step, now: Timestamp) {
        for effect in step.effects {
            self.outputs.push(match effect {
                Effect::Reply { call, reply } => ShardOutput::Reply { call, reply },
                other => ShardOutput::Effect(other),
            });
        }
        if !step.entries.is_empty() {
            let commands = step.entries.iter().map(encode_entry);
            if self.replica.propose(commands, now).is_err() {
                self.forget_proposals();
            }
        }
    }

    /// Begins the leader's volatile half anew where the log took no proposal, as while leadership is being handed
    /// over: what it counts as proposed would never be applied. Callers are told to ask again.
    fn forget_proposals(&mut self) {
        self.leader = self.leader.is_some().then(|| ShardLeader::new(self.settings.leader));
        self.outputs.push(ShardOutput::LostLeadership);
    }

    /// Runs the replication actions until none is left; applying an entry may cause new ones.
    pub(crate) fn run_actions(&mut self, now: Timestamp) {
        let mut actions = VecDeque::from(self.replica.take_actions());
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Send { to, message } => self.outputs.push(ShardOutput::Send { to, message }),
                Action::Apply(entry) => self.apply(&entry, now),
                Action::Restore(data) => self.restore(data),
                Action::TakeSnapshot { to } => {
                    let data = encode_entries(&self.state.to_entries());
                    self.replica.send_snapshot(to, self.applied, data, now);
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
        self.applied = log_entry.index;
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
                self.take_step(step, now);
            }
            None => self.state.apply(entry),
        }
    }

    fn restore(&mut self, data: bytes::Bytes) {
        match decode_entries(data) {
            Ok(entries) => {
                self.state = ShardState::from_entries(&entries);
                self.applied = self.replica.committed();
            }
            Err(_) => self.outputs.push(ShardOutput::Undecodable),
        }
    }

    fn become_leader(&mut self, term: Term, now: Timestamp) {
        let mut leader = ShardLeader::new(self.settings.leader);
        let step = leader.take_over(&self.state);
        self.leader = Some(leader);
        self.outputs.push(ShardOutput::BecameLeader { term });
        self.take_step(step, now);
    }
}

//! Faults: how they begin and end, and which of them the fleet must be able to bear.

use std::time::Duration;

use rand::Rng;
use sumacdrift_guarantees::Guarantee;
use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_replication::{Configuration, ReplicaId};
use sumacdrift_shard::ProgramShard;
use sumacdrift_types::{CallId, ShardId, Timestamp};

use super::{Event, FAULT_TIME, NEWS_GRACE, NODES, REPLICAS, World, shard_settings};
use crate::faults::FaultKind;
use crate::node::{SimNode, node_index};

impl World {
    fn disturb(&mut self, length: Duration) {
        self.disturbed_until = self.disturbed_until.max(self.now + length + NEWS_GRACE);
    }

    pub(super) fn fault_begins(&mut self, kind: FaultKind) {
        let node = self.random.random_range(0..NODES);
        let length = Duration::from_millis(self.random.random_range(300..5_000));
        let takes_state = matches!(kind, FaultKind::Crash | FaultKind::PlannedStop);
        if takes_state && !self.bears_loss_of(node) {
            // What a majority alone holds may not be taken away; try again when the group is repaired.
            if self.now < Timestamp(1_000_000) + FAULT_TIME {
                self.schedule(Duration::from_millis(500), Event::FaultBegins(kind));
            }
            return;
        }
        self.faults.push(format!("{:.3} s {kind} node {node} for {length:?}", self.now.as_seconds() - 1.0));
        self.disturb(length);
        match kind {
            FaultKind::Crash => {
                self.crash(node);
                return;
            }
            FaultKind::PlannedStop => {
                self.begin_stop(node);
                return;
            }
            FaultKind::Pause => self.nodes[node].paused_until = self.now + length,
            FaultKind::Partition => {
                self.network.mute.insert(node);
                self.network.deaf.insert(node);
            }
            FaultKind::OneWayLoss => {
                self.network.mute.insert(node);
            }
            FaultKind::Loss => self.network.is_lossy = true,
            FaultKind::Delay => self.network.is_slow = true,
            FaultKind::Reorder => self.network.is_reordering = true,
            FaultKind::Duplicate => self.network.is_duplicating = true,
            FaultKind::PlatformDown => self.platform.is_down = true,
            FaultKind::AnswerLost => self.platform.loses_answers = true,
            FaultKind::HungTool => self.hangs_tools = true,
            FaultKind::CutStream => self.cuts_streams = true,
            FaultKind::RacingOperators => self.races_operators = true,
        }
        self.schedule(length, Event::FaultEnds(kind, node));
    }

    pub(super) fn fault_ends(&mut self, kind: FaultKind, node: usize) {
        match kind {
            FaultKind::Partition => {
                self.network.mute.remove(&node);
                self.network.deaf.remove(&node);
            }
            FaultKind::OneWayLoss => {
                self.network.mute.remove(&node);
            }
            FaultKind::Loss => self.network.is_lossy = false,
            FaultKind::Delay => self.network.is_slow = false,
            FaultKind::Reorder => self.network.is_reordering = false,
            FaultKind::Duplicate => self.network.is_duplicating = false,
            FaultKind::PlatformDown => self.platform.is_down = false,
            FaultKind::AnswerLost => self.platform.loses_answers = false,
            FaultKind::HungTool => self.hangs_tools = false,
            FaultKind::CutStream => self.cuts_streams = false,
            FaultKind::RacingOperators => self.races_operators = false,
            FaultKind::Crash | FaultKind::PlannedStop | FaultKind::Pause => {}
        }
        self.disturb(Duration::ZERO);
    }

    pub(super) fn heal(&mut self) {
        for kind in FaultKind::ALL {
            for node in 0..NODES {
                self.fault_ends(kind, node);
            }
        }
    }

    /// Whether what is committed survives the loss of a node: a majority of the latest configuration must hold
    /// it on other nodes.
    fn bears_loss_of(&self, node: usize) -> bool {
        let is_stopping = self.nodes.iter().any(|one| one.is_stopping || !one.is_up);
        if is_stopping {
            return false;
        }
        let shards = || self.nodes.iter().filter_map(|one| one.shard.as_ref());
        let committed = shards().map(|shard| shard.replica().committed()).max().unwrap_or(0);
        // A configuration that is not committed yet is in force all the same where it stands in the log.
        shards().all(|shard| self.bears_loss_under(shard.replica().configuration(), committed, node))
    }

    fn bears_loss_under(&self, configuration: &Configuration, committed: u64, node: usize) -> bool {
        let holds = |voter: &&ReplicaId| {
            let index = node_index(voter.node);
            let one = &self.nodes[index];
            let shard = one.shard.as_ref().filter(|_| one.replica() == **voter && index != node);
            shard.is_some_and(|shard| shard.replica().last_index() >= committed)
        };
        let survivors = configuration.voters.iter().filter(holds).count();
        configuration.learners.is_empty() && survivors >= configuration.majority()
    }

    fn crash(&mut self, node: usize) {
        self.nodes[node].is_up = false;
        let down = Duration::from_millis(self.random.random_range(100..4_000));
        self.schedule(down, Event::Restart(node));
    }

    pub(super) fn restart(&mut self, node: usize) {
        let incarnation = match is_broken(Rule::NewIdentityAfterRestart) {
            true => self.nodes[node].incarnation,
            false => self.new_incarnation(),
        };
        let had_shard = self.nodes[node].shard.is_some();
        self.nodes[node] = SimNode::new(node, incarnation);
        if is_broken(Rule::NewIdentityAfterRestart) && had_shard {
            // It claims to be the voter that it was, with a log that it no longer has.
            let founders = (0..REPLICAS).map(|index| self.nodes[index].replica());
            let configuration = Configuration::of_voters(founders.collect::<Vec<_>>());
            let own = self.nodes[node].replica();
            let shard =
                ProgramShard::bootstrap(ShardId(0), own, configuration, shard_settings(), 7, self.now);
            self.nodes[node].shard = Some(shard);
        }
        self.start_timers(node);
    }

    fn begin_stop(&mut self, node: usize) {
        self.nodes[node].is_stopping = true;
        let calls: Vec<CallId> = self.nodes[node].tasks.keys().copied().collect();
        for call in calls {
            self.stop_watch.insert(call, node);
        }
        self.heartbeat(node);
    }

    /// Ends a node that is being stopped, once its calls have ended and its replica is replaced or spare.
    pub(super) fn try_exit(&mut self, node: usize) {
        if !self.nodes[node].is_stopping {
            return;
        }
        let is_drained = self.nodes[node].tasks.is_empty() || is_broken(Rule::StopFinishesCalls);
        let is_voter = self.nodes[node].shard.as_ref().is_some_and(|shard| {
            let own = shard.replica().configuration().is_voter(self.nodes[node].replica());
            own && !shard.is_removed()
        });
        if !is_drained || (is_voter && !is_broken(Rule::StopFinishesCalls)) {
            return;
        }
        let cut: Vec<CallId> = self.nodes[node].tasks.keys().copied().collect();
        let watched: Vec<CallId> =
            self.stop_watch.iter().filter(|(_, at)| **at == node).map(|(call, _)| *call).collect();
        for call in watched {
            self.stop_watch.remove(&call);
            let is_cut = cut.contains(&call);
            self.oracle.check(Guarantee::PlannedStopCutsNothing, !is_cut, || {
                format!("{call} was cut by the planned stop of node {node}")
            });
        }
        self.crash(node);
    }
}

//! Fault injection. Faults are limited to those that the fleet must tolerate.

use std::time::Duration;

use rand::Rng;
use sumacdrift_guarantees::Guarantee;
use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_replication::{Configuration, ReplicaId};
use sumacdrift_shard::ProgramShard;
use sumacdrift_types::{CallId, ShardId, Timestamp};

use super::{Event, FAULT_WINDOW, NODES, PROPAGATION_GRACE, REPLICAS, World, shard_settings};
use crate::faults::FaultKind;
use crate::node::{SimNode, node_index};

impl World {
    fn tolerate_lag(&mut self, length: Duration) {
        self.lag_tolerated_until = self.lag_tolerated_until.max(self.now + length + PROPAGATION_GRACE);
    }

    pub(super) fn begin_fault(&mut self, kind: FaultKind) {
        let node = self.random.random_range(0..NODES);
        let length = Duration::from_millis(self.random.random_range(300..5_000));
        let loses_state = matches!(kind, FaultKind::Crash | FaultKind::PlannedStop);
        if loses_state && !self.tolerates_loss_of(node) {
            // The loss of this node could lose committed entries; try again when the group is repaired.
            if self.now < Timestamp(1_000_000) + FAULT_WINDOW {
                self.schedule(Duration::from_millis(500), Event::FaultBegins(kind));
            }
            return;
        }
        self.faults.push(format!("{:.3} s {kind} node {node} for {length:?}", self.now.as_seconds() - 1.0));
        self.tolerate_lag(length);
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
                self.network.blocked_senders.insert(node);
                self.network.blocked_receivers.insert(node);
            }
            FaultKind::OneWayLoss => {
                self.network.blocked_senders.insert(node);
            }
            FaultKind::Loss => self.network.is_lossy = true,
            FaultKind::Delay => self.network.is_slow = true,
            FaultKind::Reorder => self.network.is_reordering = true,
            FaultKind::Duplicate => self.network.is_duplicating = true,
            FaultKind::PlatformDown => self.platform.is_down = true,
            FaultKind::AnswerLost => self.platform.should_lose_answers = true,
            FaultKind::HungTool => self.should_hang_services = true,
            FaultKind::CutStream => self.should_cut_streams = true,
            FaultKind::RacingOperators => self.should_race_operators = true,
        }
        self.schedule(length, Event::FaultEnds(kind, node));
    }

    pub(super) fn end_fault(&mut self, kind: FaultKind, node: usize) {
        match kind {
            FaultKind::Partition => {
                self.network.blocked_senders.remove(&node);
                self.network.blocked_receivers.remove(&node);
            }
            FaultKind::OneWayLoss => {
                self.network.blocked_senders.remove(&node);
            }
            FaultKind::Loss => self.network.is_lossy = false,
            FaultKind::Delay => self.network.is_slow = false,
            FaultKind::Reorder => self.network.is_reordering = false,
            FaultKind::Duplicate => self.network.is_duplicating = false,
            FaultKind::PlatformDown => self.platform.is_down = false,
            FaultKind::AnswerLost => self.platform.should_lose_answers = false,
            FaultKind::HungTool => self.should_hang_services = false,
            FaultKind::CutStream => self.should_cut_streams = false,
            FaultKind::RacingOperators => self.should_race_operators = false,
            FaultKind::Crash | FaultKind::PlannedStop | FaultKind::Pause => {}
        }
        self.tolerate_lag(Duration::ZERO);
    }

    pub(super) fn heal(&mut self) {
        for kind in FaultKind::ALL {
            for node in 0..NODES {
                self.end_fault(kind, node);
            }
        }
    }

    /// Whether committed entries survive the loss of a node: a majority of the latest configuration must hold
    /// them on other nodes.
    fn tolerates_loss_of(&self, node: usize) -> bool {
        let is_stopping = self.nodes.iter().any(|sim_node| sim_node.is_stopping || !sim_node.is_up);
        if is_stopping {
            return false;
        }
        let shards = || self.nodes.iter().filter_map(|sim_node| sim_node.shard.as_ref());
        let committed = shards().map(|shard| shard.replica().committed()).max().unwrap_or(0);
        // Replicas use the latest configuration in their log, committed or not.
        shards().all(|shard| self.tolerates_loss_under(shard.replica().configuration(), committed, node))
    }

    fn tolerates_loss_under(&self, configuration: &Configuration, committed: u64, node: usize) -> bool {
        let holds = |voter: &&ReplicaId| {
            let index = node_index(voter.node);
            let sim_node = &self.nodes[index];
            let shard = sim_node.shard.as_ref().filter(|_| sim_node.replica() == **voter && index != node);
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
            // The node rejoins as the same voter, but without its log.
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
            self.calls_at_planned_stop.insert(call, node);
        }
        self.send_heartbeats(node);
    }

    /// Exits a stopping node once its calls have ended and its replica is no voter.
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
            self.calls_at_planned_stop.iter().filter(|(_, at)| **at == node).map(|(call, _)| *call).collect();
        for call in watched {
            self.calls_at_planned_stop.remove(&call);
            let is_cut = cut.contains(&call);
            self.oracle.check(Guarantee::PlannedStopFinishesCalls, !is_cut, || {
                format!("{call} was cut by the planned stop of node {node}")
            });
        }
        self.crash(node);
    }
}

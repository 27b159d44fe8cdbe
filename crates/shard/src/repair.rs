//! Replacement of failed replicas by the shard's leader.

use std::collections::BTreeSet;
use std::time::Duration;

use sumacdrift_replication::{Candidate, ConfigurationChange, ReplicaId, spread};
use sumacdrift_types::Timestamp;

use crate::ProgramShard;

/// Fleet state that a leader uses for repair.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Node incarnations that answer and are not leaving, and so may host replicas.
    pub usable: Vec<Candidate>,
    /// Incarnations that will not return: superseded by a later incarnation of their node, or leaving. An incarnation
    /// in neither collection is unresponsive.
    pub departed: BTreeSet<ReplicaId>,
}

impl FleetView {
    fn is_usable(&self, replica: ReplicaId) -> bool {
        self.usable.iter().any(|candidate| candidate.replica == replica)
    }
}

const MIN_VOTERS: usize = 2;

/// Settings of repair.
#[derive(Debug, Clone, Copy)]
pub struct RepairSettings {
    /// Target number of voters of a shard.
    pub replicas: usize,
    /// Minimum time between two repair steps.
    pub interval: Duration,
    /// Maximum lag of a learner, in log entries, at which it is promoted to voter.
    pub caught_up_entries: u64,
}

impl Default for RepairSettings {
    fn default() -> Self {
        Self { replicas: 3, interval: Duration::from_millis(200), caught_up_entries: 16 }
    }
}

impl ProgramShard {
    /// Performs a repair step if this replica is the established leader and a step is due.
    pub fn repair(&mut self, fleet: &FleetView, now: Timestamp) {
        if now < self.next_repair || !self.replica.is_established_leader() {
            return;
        }
        self.next_repair = now + self.settings.repair.interval;
        if let Some(change) = self.next_change(fleet) {
            // A change that is rejected because another is pending is retried at the next step.
            let _ = self.replica.change_configuration(change, now);
            self.run_actions(now);
        }
    }

    /// Whether this replica is the established leader and its group has learners or needs a configuration change.
    pub fn needs_repair(&self, fleet: &FleetView) -> bool {
        let has_learners = !self.replica.configuration().learners.is_empty();
        self.replica.is_established_leader() && (has_learners || self.next_change(fleet).is_some())
    }

    /// Next configuration change, if one is needed and possible.
    ///
    /// A departed voter is removed before its replacement is promoted: while it counts, a group of four with one lost
    /// member tolerates no further loss. An unresponsive voter is removed only after its replacement is promoted: it
    /// may return, but to a group that shrank to two and then lost one of them it would be of no use.
    fn next_change(&self, fleet: &FleetView) -> Option<ConfigurationChange> {
        let configuration = self.replica.configuration();
        if let Some(unusable) = configuration.learners.iter().find(|learner| !fleet.is_usable(**learner)) {
            return Some(ConfigurationChange::Remove(*unusable));
        }
        let present = configuration.voters.iter().filter(|voter| fleet.is_usable(**voter)).count();
        let peers = || configuration.voters.iter().filter(|voter| **voter != self.own_id);
        let departed = peers().find(|voter| fleet.departed.contains(voter));
        // A group never shrinks to a single voter, whose loss would lose everything that it committed alone.
        if let Some(departed) = departed.filter(|_| present >= MIN_VOTERS) {
            return Some(ConfigurationChange::Remove(*departed));
        }
        let caught_up = self.settings.repair.caught_up_entries;
        let is_ready = |learner: &&ReplicaId| self.replica.is_caught_up(**learner, caught_up);
        if let Some(learner) = configuration.learners.iter().find(is_ready) {
            return Some(ConfigurationChange::Promote(*learner));
        }
        if !configuration.learners.is_empty() {
            return None;
        }
        if present < self.settings.repair.replicas {
            return self.replacement(&fleet.usable).map(ConfigurationChange::AddLearner);
        }
        peers()
            .find(|voter| !fleet.is_usable(**voter))
            .map(|unresponsive| ConfigurationChange::Remove(*unresponsive))
    }

    fn replacement(&self, candidates: &[Candidate]) -> Option<ReplicaId> {
        let configuration = self.replica.configuration();
        let present: Vec<Candidate> = candidates
            .iter()
            .filter(|candidate| configuration.contains(candidate.replica))
            .cloned()
            .collect();
        let group = u64::from(self.id.0);
        let chosen = spread(group, candidates, &present, 1);
        chosen.first().map(|candidate| candidate.replica)
    }
}

//! Replacement of lost replicas, decided by the shard's leader.

use std::collections::BTreeSet;
use std::time::Duration;

use sumacdrift_replication::{Candidate, ConfigurationChange, ReplicaId, spread};
use sumacdrift_types::Timestamp;

use crate::ProgramShard;

/// The fleet as a leader sees it when it looks after its replicas.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Lives that answer and stay; they may hold replicas.
    pub usable: Vec<Candidate>,
    /// Lives that will not come back: replaced by a later life of their node, or leaving. A life that is in
    /// neither list is silent.
    pub departed: BTreeSet<ReplicaId>,
}

impl FleetView {
    fn is_usable(&self, replica: ReplicaId) -> bool {
        self.usable.iter().any(|candidate| candidate.replica == replica)
    }
}

/// Voters that a group keeps at least.
const MIN_VOTERS: usize = 2;

/// How repair proceeds.
#[derive(Debug, Clone, Copy)]
pub struct RepairSettings {
    /// Replicas that a shard should have.
    pub replicas: usize,
    /// Time between two steps of repair.
    pub interval: Duration,
    /// A learner whose log is this close to the leader's gets a vote.
    pub caught_up_entries: u64,
}

impl Default for RepairSettings {
    fn default() -> Self {
        Self { replicas: 3, interval: Duration::from_millis(200), caught_up_entries: 16 }
    }
}

impl ProgramShard {
    /// Takes one step of repair, if this replica leads and one is due.
    pub fn repair(&mut self, fleet: &FleetView, now: Timestamp) {
        if now < self.next_repair || !self.replica.is_established_leader() {
            return;
        }
        self.next_repair = now + self.settings.repair.interval;
        if let Some(change) = self.next_change(fleet) {
            // A change that is still pending is tried again at the next step.
            let _ = self.replica.change_configuration(change, now);
            self.run_actions(now);
        }
    }

    /// Whether this replica leads a group that has fewer voters than it could have.
    pub fn needs_repair(&self, fleet: &FleetView) -> bool {
        let has_learners = !self.replica.configuration().learners.is_empty();
        self.replica.is_established_leader() && (has_learners || self.next_change(fleet).is_some())
    }

    /// A departed voter is removed before its replacement gets a vote: while it counts, a group of four with one
    /// lost member bears no further loss. A silent voter is removed only after its replacement: it may come
    /// back, and a group that shrank to two and then loses one of them could not make use of it.
    fn next_change(&self, fleet: &FleetView) -> Option<ConfigurationChange> {
        let configuration = self.replica.configuration();
        if let Some(lost) = configuration.learners.iter().find(|learner| !fleet.is_usable(**learner)) {
            return Some(ConfigurationChange::Remove(*lost));
        }
        let present = configuration.voters.iter().filter(|voter| fleet.is_usable(**voter)).count();
        let others = || configuration.voters.iter().filter(|voter| **voter != self.own);
        let departed = others().find(|voter| fleet.departed.contains(voter));
        // A group is never shrunk to a single voter: what one replica alone commits is lost with it.
        if let Some(departed) = departed.filter(|_| present >= MIN_VOTERS) {
            return Some(ConfigurationChange::Remove(*departed));
        }
        let caught_up = self.settings.repair.caught_up_entries;
        let ready = |learner: &&ReplicaId| self.replica.is_caught_up(**learner, caught_up);
        if let Some(learner) = configuration.learners.iter().find(ready) {
            return Some(ConfigurationChange::Promote(*learner));
        }
        if !configuration.learners.is_empty() {
            return None;
        }
        if present < self.settings.repair.replicas {
            return self.replacement(&fleet.usable).map(ConfigurationChange::AddLearner);
        }
        others().find(|voter| !fleet.is_usable(**voter)).map(|silent| ConfigurationChange::Remove(*silent))
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

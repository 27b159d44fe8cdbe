//! Replacement of lost replicas, decided by the shard's leader.

use std::time::Duration;

use sumacdrift_replication::{Candidate, ConfigurationChange, ReplicaId, spread};
use sumacdrift_types::Timestamp;

use crate::ProgramShard;

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
        Self { replicas: 3, interval: Duration::from_millis(500), caught_up_entries: 16 }
    }
}

impl ProgramShard {
    /// Takes one step of repair, if this replica leads and one is due.
    ///
    /// `candidates` are the lives that may hold replicas at present; a member that is not among them is lost or
    /// leaving. A replacement is added before the lost member is removed, so that the group is never smaller
    /// than before.
    pub fn repair(&mut self, candidates: &[Candidate], now: Timestamp) {
        if now < self.next_repair || !self.replica.is_established_leader() {
            return;
        }
        self.next_repair = now + self.settings.repair.interval;
        if let Some(change) = self.next_change(candidates) {
            // A change that is still pending is tried again at the next step.
            let _ = self.replica.change_configuration(change, now);
            self.run_actions(now);
        }
    }

    fn next_change(&self, candidates: &[Candidate]) -> Option<ConfigurationChange> {
        let configuration = self.replica.configuration();
        let is_candidate =
            |replica: &ReplicaId| candidates.iter().any(|candidate| candidate.replica == *replica);
        if let Some(lost) = configuration.learners.iter().find(|learner| !is_candidate(learner)) {
            return Some(ConfigurationChange::Remove(*lost));
        }
        let caught_up = self.settings.repair.caught_up_entries;
        let ready = |learner: &&ReplicaId| self.replica.is_caught_up(**learner, caught_up);
        if let Some(learner) = configuration.learners.iter().find(ready) {
            return Some(ConfigurationChange::Promote(*learner));
        }
        if !configuration.learners.is_empty() {
            return None;
        }
        let wanted = self.settings.repair.replicas;
        let present = configuration.voters.iter().filter(|voter| is_candidate(voter)).count();
        if present < wanted
            && let Some(replacement) = self.replacement(candidates)
        {
            return Some(ConfigurationChange::AddLearner(replacement));
        }
        // Without a replacement a lost voter stays: removing it would not make the group any safer.
        let is_spare = present >= wanted;
        let lost = configuration.voters.iter().find(|voter| !is_candidate(voter) && **voter != self.own);
        lost.filter(|_| is_spare).map(|lost| ConfigurationChange::Remove(*lost))
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

//! Replacement of lost replicas, decided by the shard's leader.

use std::time::Duration;

use sumacdrift_replication::{Candidate, ConfigurationChange, ReplicaId, spread};
use sumacdrift_types::Timestamp;

use crate::ProgramShard;

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
    ///
    /// `candidates` are the lives that may hold replicas at present; a member that is not among them is lost or
    /// leaving. A lost voter is removed before its replacement gets a vote: while it counts, a group of four with
    /// one lost member bears no further loss, and a group of three that was repaired bears one.
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

    /// Whether this replica leads a group that has fewer voters than it could have.
    pub fn needs_repair(&self, candidates: &[Candidate]) -> bool {
        self.replica.is_established_leader() && self.next_change(candidates).is_some()
            || !self.replica.configuration().learners.is_empty()
    }

    fn next_change(&self, candidates: &[Candidate]) -> Option<ConfigurationChange> {
        let configuration = self.replica.configuration();
        let is_candidate =
            |replica: &ReplicaId| candidates.iter().any(|candidate| candidate.replica == *replica);
        if let Some(lost) = configuration.learners.iter().find(|learner| !is_candidate(learner)) {
            return Some(ConfigurationChange::Remove(*lost));
        }
        let present = configuration.voters.iter().filter(|voter| is_candidate(voter)).count();
        let lost = configuration.voters.iter().find(|voter| !is_candidate(voter) && **voter != self.own);
        // A group is never shrunk to a single voter: what one replica alone commits is lost with it.
        if let Some(lost) = lost.filter(|_| present >= MIN_VOTERS) {
            return Some(ConfigurationChange::Remove(*lost));
        }
        let caught_up = self.settings.repair.caught_up_entries;
        let ready = |learner: &&ReplicaId| self.replica.is_caught_up(**learner, caught_up);
        if let Some(learner) = configuration.learners.iter().find(ready) {
            return Some(ConfigurationChange::Promote(*learner));
        }
        if !configuration.learners.is_empty() || present >= self.settings.repair.replicas {
            return None;
        }
        self.replacement(candidates).map(ConfigurationChange::AddLearner)
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

//! Election state: votes received, vote granted and election timeout.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sumacdrift_types::Timestamp;

use crate::{Configuration, ReplicaId, Term};

/// Votes received by a candidate.
#[derive(Debug, Default)]
pub(crate) struct VoteTally {
    granted: BTreeSet<ReplicaId>,
}

impl VoteTally {
    pub(crate) fn with_own_vote(own_id: ReplicaId) -> Self {
        Self { granted: BTreeSet::from([own_id]) }
    }

    pub(crate) fn grant(&mut self, voter: ReplicaId) {
        self.granted.insert(voter);
    }

    pub(crate) fn is_won(&self, configuration: &Configuration) -> bool {
        let votes = self.granted.iter().filter(|voter| configuration.is_voter(**voter)).count();
        votes >= configuration.majority()
    }
}

/// The vote this replica granted last.
#[derive(Debug, Default)]
pub(crate) struct VoteRecord {
    term: Term,
    candidate: Option<ReplicaId>,
}

impl VoteRecord {
    pub(crate) fn can_grant(&self, term: Term, candidate: ReplicaId) -> bool {
        self.term < term || self.candidate == Some(candidate)
    }

    pub(crate) fn grant(&mut self, term: Term, candidate: ReplicaId) {
        self.term = term;
        self.candidate = Some(candidate);
    }
}

/// Random deadline between one and two timeouts from now, which makes split votes unlikely.
pub(crate) fn random_election_deadline(rng: &mut ChaCha8Rng, timeout: Duration, now: Timestamp) -> Timestamp {
    now + timeout + timeout.mul_f64(rng.random::<f64>())
}

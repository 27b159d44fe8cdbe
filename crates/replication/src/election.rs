//! Candidacy: when to stand, for whom to vote, and counting votes.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sumacdrift_types::Timestamp;

use crate::{Configuration, ReplicaId, Term};

/// An election that this replica runs in.
#[derive(Debug, Default)]
pub(crate) struct Ballot {
    granted: BTreeSet<ReplicaId>,
}

impl Ballot {
    /// A ballot with one's own vote.
    pub(crate) fn with_own(own: ReplicaId) -> Self {
        Self { granted: BTreeSet::from([own]) }
    }

    pub(crate) fn grant(&mut self, voter: ReplicaId) {
        self.granted.insert(voter);
    }

    pub(crate) fn is_won(&self, configuration: &Configuration) -> bool {
        let votes = self.granted.iter().filter(|voter| configuration.is_voter(**voter)).count();
        votes >= configuration.majority()
    }
}

/// The promise of one term's vote.
#[derive(Debug, Default)]
pub(crate) struct Vote {
    term: Term,
    candidate: Option<ReplicaId>,
}

impl Vote {
    pub(crate) fn may_give(&self, term: Term, candidate: ReplicaId) -> bool {
        self.term < term || self.candidate == Some(candidate)
    }

    pub(crate) fn give(&mut self, term: Term, candidate: ReplicaId) {
        self.term = term;
        self.candidate = Some(candidate);
    }
}

/// A point between one and two election timeouts from now, so that replicas seldom stand together.
pub(crate) fn random_deadline(source: &mut ChaCha8Rng, timeout: Duration, now: Timestamp) -> Timestamp {
    now + timeout + timeout.mul_f64(source.random::<f64>())
}

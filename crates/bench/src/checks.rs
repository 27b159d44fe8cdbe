//! Counters of checks that concurrent tasks share.

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use sumacdrift_guarantees::Guarantee;
use sumacdrift_guarantees::{GuaranteeResult, Tallies};

/// [`Tallies`] behind a lock.
#[derive(Debug, Default)]
pub struct Checks {
    tallies: Mutex<Tallies>,
}

impl Checks {
    /// Counts a check. `describe` is called only for the first violations of a guarantee.
    pub fn check(&self, guarantee: Guarantee, holds: bool, describe: impl FnOnce() -> String) {
        self.lock().check(guarantee, holds, describe);
    }

    /// The counts of all guarantees.
    pub fn results(&self) -> Vec<GuaranteeResult> {
        self.lock().results()
    }

    fn lock(&self) -> MutexGuard<'_, Tallies> {
        self.tallies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

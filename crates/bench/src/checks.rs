//! The ten guarantees, checked by many tasks at a time against what callers and stand-ins saw.

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use sumacdrift_guarantees::Guarantee;
use sumacdrift_guarantees::{GuaranteeResult, Tallies};

/// Collects checks from many tasks.
#[derive(Debug, Default)]
pub struct Checks {
    tallies: Mutex<Tallies>,
}

impl Checks {
    /// Notes one check. `describe` is called only where the guarantee was violated.
    pub fn check(&self, guarantee: Guarantee, holds: bool, describe: impl FnOnce() -> String) {
        self.lock().check(guarantee, holds, describe);
    }

    /// The results of all ten guarantees.
    pub fn results(&self) -> Vec<GuaranteeResult> {
        self.lock().results()
    }

    fn lock(&self) -> MutexGuard<'_, Tallies> {
        self.tallies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

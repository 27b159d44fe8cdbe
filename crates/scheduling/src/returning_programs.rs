//! Programs whose first call was refused and is expected back.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Programs that are remembered; beyond it the ones expected first are forgotten.
const MOST_PROGRAMS: usize = 512;
/// How long after the time it was told a program is still expected.
const LATE_BY: Duration = Duration::from_secs(1);

/// Programs that were told to come back, by a hash of their names.
#[derive(Debug, Default)]
pub struct ReturningPrograms {
    expected: HashMap<u64, Timestamp>,
}

impl ReturningPrograms {
    /// A program was told to come back after this time.
    pub fn told(&mut self, program: u64, retry_after: Duration, now: Timestamp) {
        self.expected.retain(|_, at| *at + LATE_BY > now);
        if self.expected.len() >= MOST_PROGRAMS
            && let Some(first) = self.expected.iter().min_by_key(|(_, at)| **at).map(|(program, _)| *program)
        {
            self.expected.remove(&first);
        }
        self.expected.insert(program, now + retry_after);
    }

    /// Whether a program comes back as it was told to.
    pub fn is_returning(&self, program: u64, now: Timestamp) -> bool {
        self.expected.get(&program).is_some_and(|at| now < *at + LATE_BY)
    }
}

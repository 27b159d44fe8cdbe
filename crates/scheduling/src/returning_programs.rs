//! Programs whose first call was refused and is expected back.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Programs that are remembered; beyond it the one expected last is forgotten.
const MOST_PROGRAMS: usize = 512;
/// How long after the time it was told a program is still expected.
const LATE_BY: Duration = Duration::from_secs(1);
/// How much earlier than it was told a program may come: callers wait for a part of their time at the most.
const EARLY_BY: Duration = Duration::from_millis(1000);
/// The least that a program must have waited: one that asks again at once doesn't go before others.
const LEAST_WAIT: Duration = Duration::from_millis(40);

/// When a program is expected.
#[derive(Debug, Clone, Copy)]
struct Expected {
    told_at: Timestamp,
    at: Timestamp,
}

/// Programs that were told to come back, by a hash of their names.
#[derive(Debug, Default)]
pub struct ReturningPrograms {
    expected: HashMap<u64, Expected>,
}

impl ReturningPrograms {
    /// A program was told to come back after this time.
    pub fn told(&mut self, program: u64, retry_after: Duration, now: Timestamp) {
        self.expected.retain(|_, expected| expected.at + LATE_BY > now);
        if self.expected.len() >= MOST_PROGRAMS
            && let Some((last, _)) = self.expected.iter().max_by_key(|(_, expected)| expected.at)
        {
            let last = *last;
            self.expected.remove(&last);
        }
        self.expected.insert(program, Expected { told_at: now, at: now + retry_after });
    }

    /// Whether a program comes back as it was told to.
    pub fn is_returning(&self, program: u64, now: Timestamp) -> bool {
        self.expected.get(&program).is_some_and(|expected| {
            let has_waited = now >= expected.told_at + LEAST_WAIT && now + EARLY_BY >= expected.at;
            has_waited && now < expected.at + LATE_BY
        })
    }
}

//! Retry times for rejected callers, spread so that retries arrive no faster than capacity is freed.
//!
//! Callers rejected at the same moment and given the same delay would all return at once.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Assumed wait where none is known: about one call duration.
const DEFAULT_WAIT: Duration = Duration::from_millis(250);
/// Upper bound on the time between two retries.
const MAX_GAP: Duration = Duration::from_millis(250);
/// Lower bound on the delay; connection setup and the network take part of it.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Upper bound on the expected wait that is used: the present load says little about later times.
const MAX_COUNTED_WAIT: Duration = Duration::from_secs(2);
/// Upper bound on the delay while many retries are scheduled. A smaller one would make the last of them coincide.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Schedule of the retries of rejected callers.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    next_retry: Timestamp,
}

impl RetrySchedule {
    /// Schedules one more retry behind all earlier ones and returns the delay until it. `wait` is the expected time until
    /// capacity is free (zero if unknown), `calls_per_second` the rate at which it is freed.
    pub fn schedule_retry(&mut self, wait: Duration, calls_per_second: f64, now: Timestamp) -> Duration {
        let gap = Duration::from_secs_f64(1.0 / calls_per_second.max(1.0 / MAX_GAP.as_secs_f64()));
        let wait = if wait.is_zero() { DEFAULT_WAIT } else { wait };
        let retry_at = self.next_retry.max(now + wait.min(MAX_COUNTED_WAIT)).min(now + MAX_DELAY);
        self.next_retry = retry_at + gap;
        retry_at.since(now).max(MIN_DELAY)
    }
}

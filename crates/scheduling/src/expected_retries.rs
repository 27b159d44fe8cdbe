//! Programs whose first call was rejected and that are expected to retry.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Maximum number of tracked programs; beyond it, the one expected last is dropped.
const MAX_PROGRAMS: usize = 512;
/// How long after its retry time a program is still expected.
const LATE_TOLERANCE: Duration = Duration::from_secs(1);
/// How long before its retry time a program may return: callers may cap the delay at a part of their remaining time.
const EARLY_TOLERANCE: Duration = Duration::from_millis(1000);
/// Minimum delay after the rejection: an immediate retry gains no precedence.
const MIN_DELAY: Duration = Duration::from_millis(40);

#[derive(Debug, Clone, Copy)]
struct ExpectedRetry {
    rejected_at: Timestamp,
    retry_at: Timestamp,
}

/// Programs that were given a retry time, by a hash of their names.
#[derive(Debug, Default)]
pub struct ExpectedRetries {
    expected: HashMap<u64, ExpectedRetry>,
}

impl ExpectedRetries {
    /// Records that a program was rejected with this retry delay.
    pub fn record_rejection(&mut self, program: u64, retry_after: Duration, now: Timestamp) {
        self.expected.retain(|_, expected| expected.retry_at + LATE_TOLERANCE > now);
        if self.expected.len() >= MAX_PROGRAMS
            && let Some((last, _)) = self.expected.iter().max_by_key(|(_, expected)| expected.retry_at)
        {
            let last = *last;
            self.expected.remove(&last);
        }
        self.expected.insert(program, ExpectedRetry { rejected_at: now, retry_at: now + retry_after });
    }

    /// Whether a call that arrives now is the program's expected retry.
    pub fn is_expected(&self, program: u64, now: Timestamp) -> bool {
        self.expected.get(&program).is_some_and(|expected| {
            let has_waited =
                now >= expected.rejected_at + MIN_DELAY && now + EARLY_TOLERANCE >= expected.retry_at;
            has_waited && now < expected.retry_at + LATE_TOLERANCE
        })
    }
}

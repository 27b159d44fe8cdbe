//! Limit on log lines about an event that may repeat quickly.

use std::time::Duration;

use tokio::time::Instant;

/// Minimum time between two lines.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Limits the rate of log lines about one kind of event.
#[derive(Debug, Default)]
pub struct RepeatedLineLimit {
    last: Option<Instant>,
    suppressed: u64,
}

impl RepeatedLineLimit {
    /// `Some` if a line may be logged now, with the number of lines suppressed since the last one.
    pub fn try_log(&mut self, now: Instant) -> Option<u64> {
        if self.last.is_some_and(|last| now.duration_since(last) < MIN_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}

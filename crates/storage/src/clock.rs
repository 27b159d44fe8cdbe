//! Wall clock, for expiry times that must survive a restart, and durations in messages.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    to_millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// A duration in whole milliseconds, for messages.
pub(crate) fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

//! The time of day, for expiries that must outlast a process.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

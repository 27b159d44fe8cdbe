//! Wall clock, for expiry times that must survive a restart, and durations in messages.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Time of day at one moment of the steady clock.
struct Reference {
    since_epoch: Duration,
    instant: std::time::Instant,
}

static REFERENCE: LazyLock<Reference> = LazyLock::new(|| Reference {
    since_epoch: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
    instant: std::time::Instant::now(),
});

/// Milliseconds since the Unix epoch. Follows the steady clock after the first call, so that a step of the time of day
/// expires nothing.
pub fn unix_millis() -> u64 {
    let reference = &*REFERENCE;
    let elapsed = Instant::now().into_std().saturating_duration_since(reference.instant);
    to_millis(reference.since_epoch + elapsed)
}

/// A duration in whole milliseconds, for messages.
pub(crate) fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

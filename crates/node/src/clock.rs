//! The node's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sumacdrift_types::Timestamp;
use tokio::time::Instant;

/// A monotonic clock that starts at the time of day.
///
/// It begins with the wall clock, so that the times of different nodes can be compared roughly, and never jumps
/// afterwards. Nothing that must be safe depends on nodes' clocks agreeing.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: Instant,
    unix_micros_at_origin: u64,
}

impl Clock {
    pub(crate) fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix_micros_at_origin: since_epoch.as_micros() as u64 }
    }

    pub(crate) fn now(&self) -> Timestamp {
        Timestamp(self.unix_micros_at_origin + self.origin.elapsed().as_micros() as u64)
    }

    /// The runtime's instant for a point in time.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        self.origin + Duration::from_micros(at.0.saturating_sub(self.unix_micros_at_origin))
    }
}

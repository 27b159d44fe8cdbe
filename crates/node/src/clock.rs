//! Monotonic clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sumacdrift_types::Timestamp;
use tokio::time::Instant;

/// A monotonic clock that starts at the wall-clock time.
///
/// This makes timestamps of different nodes roughly comparable. The clock never jumps afterwards. Safety must
/// not depend on agreement between nodes' clocks.
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

    /// Converts a timestamp to an instant of the runtime. Times before the clock's start map to its start.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        self.origin + Duration::from_micros(at.0.saturating_sub(self.unix_micros_at_origin))
    }
}

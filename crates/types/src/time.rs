//! Timestamps of a monotonic clock, passed to decision code by its driver.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on the driver's monotonic clock, in microseconds since that clock's origin.
///
/// Decision code never reads a clock: the node passes the time since its process started, the simulator passes
/// virtual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Time elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Seconds since the clock's origin.
    pub fn as_seconds(self) -> f64 {
        Duration::from_micros(self.0).as_secs_f64()
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(micros))
    }
}

//! The process clock, converted between the runtime's [`Instant`] and [`Timestamp`].

use std::time::Duration;

use sumacdrift_types::Timestamp;
use tokio::time::Instant;

/// Measures time since it was created, normally at process start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { origin: Instant::now() }
    }
}

impl Clock {
    /// The current time.
    pub fn now(&self) -> Timestamp {
        Timestamp::default() + self.origin.elapsed()
    }

    /// Converts an instant; `None` if it lies before the clock's origin.
    pub fn timestamp(&self, at: Instant) -> Option<Timestamp> {
        at.checked_duration_since(self.origin).map(|passed| Timestamp::default() + passed)
    }

    /// Converts a timestamp to an instant for the runtime's timers.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.origin + Duration::from_micros(at.0)
    }
}

//! How many calls end in a second.
//!
//! Needed when many calls come at once: news of other nodes is late, so a node overrates its share, but calls that end here
//! show how fast room comes free.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Time over which ends are counted: a few calls' time, so that it follows a crowd.
const COUNTED: Duration = Duration::from_secs(1);

/// Ends of calls, those long ago counting less.
#[derive(Debug, Default)]
pub struct EndRate {
    ends: f64,
    at: Timestamp,
}

impl EndRate {
    /// A call ended.
    pub fn ended(&mut self, now: Timestamp) {
        self.ends = self.per_second(now) * COUNTED.as_secs_f64() + 1.0;
        self.at = now;
    }

    /// Calls that end in a second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64() / COUNTED.as_secs_f64();
        self.ends * (-age).exp() / COUNTED.as_secs_f64()
    }
}

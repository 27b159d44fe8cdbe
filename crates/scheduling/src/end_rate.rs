//! How many calls end in a second.
//!
//! Answers a sudden crowd: a node knows of the other nodes' calls late and takes its share for larger than it is, but what
//! comes free is what ended.

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

//! Rate at which calls complete.
//!
//! Load reports of peers are delayed, so under a burst a node overestimates its share of the capacity; calls that complete
//! here show how fast capacity is freed.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Time constant of the decay: a few call durations, so that the rate follows a burst.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Exponentially decaying count of completed calls.
#[derive(Debug, Default)]
pub struct CompletionRate {
    weighted_count: f64,
    updated_at: Timestamp,
}

impl CompletionRate {
    pub fn record_completion(&mut self, now: Timestamp) {
        self.weighted_count = self.per_second(now) * DECAY_TIME.as_secs_f64() + 1.0;
        self.updated_at = now;
    }

    pub fn per_second(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.weighted_count * (-age).exp() / DECAY_TIME.as_secs_f64()
    }
}

//! A budget of retries, so that repetitions never multiply an overload.

use sumacdrift_types::Timestamp;

/// Tokens of the bucket that one retry costs.
const RETRY_COST: f64 = 1.0;

/// A token bucket that is filled by first attempts and, slowly, by time.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    minimum_per_second: f64,
    maximum: f64,
    level: f64,
    filled: Timestamp,
}

impl RetryBudget {
    /// Allows `ratio` retries for each first attempt, plus `minimum_per_second` whatever the traffic.
    pub fn new(ratio: f64, minimum_per_second: f64, maximum: f64) -> Self {
        Self { ratio, minimum_per_second, maximum, level: maximum, filled: Timestamp::default() }
    }

    /// Notes a first attempt.
    pub fn attempted(&mut self) {
        self.level = (self.level + self.ratio).min(self.maximum);
    }

    /// Takes one retry, if there is one.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        let earned = now.since(self.filled).as_secs_f64() * self.minimum_per_second;
        self.level = (self.level + earned).min(self.maximum);
        self.filled = now;
        if self.level < RETRY_COST {
            return false;
        }
        self.level -= RETRY_COST;
        true
    }
}

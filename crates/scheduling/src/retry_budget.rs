//! Retry budget: limits retries to a fraction of first attempts, so that they don't amplify an overload.

use sumacdrift_types::Timestamp;

const RETRY_COST: f64 = 1.0;

/// A token bucket that first attempts refill and, at a low rate, time. Starts full.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    minimum_per_second: f64,
    maximum: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Allows `ratio` retries for each first attempt, plus `minimum_per_second` regardless of traffic. At most `maximum`
    /// retries accumulate.
    pub fn new(ratio: f64, minimum_per_second: f64, maximum: f64) -> Self {
        Self { ratio, minimum_per_second, maximum, tokens: maximum, refilled_at: Timestamp::default() }
    }

    /// Records a first attempt.
    pub fn record_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.maximum);
    }

    /// Spends one retry; `false` if the budget is exhausted.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.minimum_per_second;
        self.tokens = (self.tokens + earned).min(self.maximum);
        self.refilled_at = now;
        if self.tokens < RETRY_COST {
            return false;
        }
        self.tokens -= RETRY_COST;
        true
    }
}

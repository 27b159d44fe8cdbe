//! Token-bucket rate limit for log lines.

/// A token bucket with one token per line. Times are microseconds of any monotonic clock.
#[derive(Debug, Clone)]
pub struct LogRateLimit {
    lines_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: u64,
    dropped: u64,
}

impl LogRateLimit {
    /// Allows bursts of `burst` lines and `lines_per_second` in the long run.
    pub fn new(lines_per_second: f64, burst: f64) -> Self {
        Self { lines_per_second, burst, tokens: burst, refilled_at: 0, dropped: 0 }
    }

    /// Takes a token; without one the line counts as dropped and this returns false.
    pub fn take(&mut self, now_micros: u64) -> bool {
        let elapsed_seconds = now_micros.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now_micros;
        self.tokens = (self.tokens + elapsed_seconds * self.lines_per_second).min(self.burst);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Counts a line that was dropped elsewhere.
    pub fn record_dropped(&mut self) {
        self.dropped += 1;
    }

    /// Returns and resets the number of dropped lines.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

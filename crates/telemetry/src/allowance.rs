//! How many lines may be logged: a bucket that fills with time.

/// A bucket of lines. Times are microseconds of any steady clock.
#[derive(Debug, Clone)]
pub struct LineAllowance {
    lines_per_second: f64,
    burst: f64,
    level: f64,
    filled_at: u64,
    dropped: u64,
}

impl LineAllowance {
    /// Allows `burst` lines at once and `lines_per_second` in the long run.
    pub fn new(lines_per_second: f64, burst: f64) -> Self {
        Self { lines_per_second, burst, level: burst, filled_at: 0, dropped: 0 }
    }

    /// Whether a line may be written; one that may not is counted.
    pub fn take(&mut self, now_micros: u64) -> bool {
        let passed = now_micros.saturating_sub(self.filled_at) as f64 / 1e6;
        self.filled_at = now_micros;
        self.level = (self.level + passed * self.lines_per_second).min(self.burst);
        if self.level < 1.0 {
            self.dropped += 1;
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Counts a line that was lost elsewhere.
    pub fn lost(&mut self) {
        self.dropped += 1;
    }

    /// Lines that were not written since this was last asked.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

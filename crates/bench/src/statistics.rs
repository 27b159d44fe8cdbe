//! Percentiles of durations.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant digits of recorded durations.
const DIGITS: u8 = 3;

/// A histogram of durations.
#[derive(Debug, Clone)]
pub struct DurationHistogram {
    micros: Histogram<u64>,
}

/// Statistics of durations, in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
#[allow(missing_docs)]
pub struct Percentiles {
    /// Number of durations.
    pub count: u64,
    pub mean: f64,
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

impl Default for DurationHistogram {
    fn default() -> Self {
        Self { micros: Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("a valid precision")) }
    }
}

impl DurationHistogram {
    pub fn add(&mut self, time: Duration) {
        // The histogram grows as needed, so no value is out of its range.
        let _ = self.micros.record(time.as_micros() as u64);
    }

    pub fn merge(&mut self, other: &DurationHistogram) {
        // Both have the same precision and grow as needed.
        let _ = self.micros.add(&other.micros);
    }

    pub fn percentiles(&self) -> Percentiles {
        let seconds = |micros: u64| micros as f64 / 1e6;
        Percentiles {
            count: self.micros.len(),
            mean: self.micros.mean() / 1e6,
            p50: seconds(self.micros.value_at_quantile(0.5)),
            p95: seconds(self.micros.value_at_quantile(0.95)),
            p99: seconds(self.micros.value_at_quantile(0.99)),
        }
    }
}

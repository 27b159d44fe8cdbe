//! Percentiles of times.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant digits that are kept.
const DIGITS: u8 = 3;

/// Collects times.
#[derive(Debug, Clone)]
pub struct Times {
    micros: Histogram<u64>,
}

/// Percentiles of times, in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of times.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Default for Times {
    fn default() -> Self {
        Self { micros: Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("a valid precision")) }
    }
}

impl Times {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        // The histogram grows as needed, so no value is out of its range.
        let _ = self.micros.record(time.as_micros() as u64);
    }

    /// Adds all times of another collection.
    pub fn merge(&mut self, other: &Times) {
        // Both have the same precision and grow as needed.
        let _ = self.micros.add(&other.micros);
    }

    /// The percentiles.
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

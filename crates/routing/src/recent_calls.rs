//! Number of recent calls and failures in a sliding window of fixed size.

use std::ops::Add;
use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Number of buckets in the window; the oldest one expires as a whole.
const BUCKETS: usize = 8;
/// Together with the number of buckets, sets the window. A longer window would dilute a new fault with the calls
/// before it.
const BUCKET_TIME: Duration = Duration::from_millis(200);

/// Calls that ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Successes and failures; rejected calls are not counted.
    pub ended: u32,
    /// Failures caused by the engine.
    pub failed: u32,
}

impl CallCounts {
    /// Fraction of calls that failed; zero if none ended.
    pub fn failure_rate(self) -> f64 {
        f64::from(self.failed) / f64::from(self.ended.max(1))
    }
}

impl Add for CallCounts {
    type Output = CallCounts;

    fn add(self, other: CallCounts) -> CallCounts {
        CallCounts {
            ended: self.ended.saturating_add(other.ended),
            failed: self.failed.saturating_add(other.failed),
        }
    }
}

/// Calls that ended within the last 1.6 seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RecentCalls {
    buckets: [CallCounts; BUCKETS],
    /// Number of the newest bucket, counted from the clock's origin.
    newest: u64,
}

impl RecentCalls {
    pub(crate) fn record(&mut self, has_failed: bool, now: Timestamp) {
        let current = bucket_number(now).max(self.newest);
        let new_buckets = (current - self.newest).min(BUCKETS as u64);
        for number in (current + 1 - new_buckets)..=current {
            self.buckets[bucket_index(number)] = CallCounts::default();
        }
        self.newest = current;
        let bucket = &mut self.buckets[bucket_index(current)];
        *bucket = *bucket + CallCounts { ended: 1, failed: u32::from(has_failed) };
    }

    pub(crate) fn counts(&self, now: Timestamp) -> CallCounts {
        let oldest = (bucket_number(now) + 1).saturating_sub(BUCKETS as u64);
        let first_valid = self.newest.saturating_sub(BUCKETS as u64 - 1).max(oldest);
        let valid = (first_valid..=self.newest).map(|number| self.buckets[bucket_index(number)]);
        valid.fold(CallCounts::default(), CallCounts::add)
    }
}

fn bucket_number(now: Timestamp) -> u64 {
    now.0 / BUCKET_TIME.as_micros() as u64
}

fn bucket_index(number: u64) -> usize {
    (number % BUCKETS as u64) as usize
}

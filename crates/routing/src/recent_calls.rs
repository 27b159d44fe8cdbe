//! How many calls ended of late, and how many of them failed, in a fixed amount of memory.

use std::ops::Add;
use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Parts into which the recent time is cut, the oldest of which is forgotten at a time.
const PARTS: usize = 8;
/// Length of a part. A longer time would thin a fault that has only begun out with the calls before it.
const PART_TIME: Duration = Duration::from_millis(200);

/// Calls that ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// All of them, well or not. Calls that were turned away are not counted.
    pub ended: u32,
    /// Those that failed by the engine's fault.
    pub failed: u32,
}

impl CallCounts {
    /// The share of calls that failed; zero where none ended.
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
    parts: [CallCounts; PARTS],
    /// Number of the newest part since the clock's origin.
    newest: u64,
}

impl RecentCalls {
    /// A call ended now.
    pub(crate) fn note(&mut self, has_failed: bool, now: Timestamp) {
        let current = part_number(now).max(self.newest);
        let begun = (current - self.newest).min(PARTS as u64);
        for number in (current + 1 - begun)..=current {
            self.parts[place(number)] = CallCounts::default();
        }
        self.newest = current;
        let part = &mut self.parts[place(current)];
        *part = *part + CallCounts { ended: 1, failed: u32::from(has_failed) };
    }

    /// Calls that ended of late.
    pub(crate) fn counts(&self, now: Timestamp) -> CallCounts {
        let oldest = (part_number(now) + 1).saturating_sub(PARTS as u64);
        let still_kept = self.newest.saturating_sub(PARTS as u64 - 1).max(oldest);
        let kept = (still_kept..=self.newest).map(|number| self.parts[place(number)]);
        kept.fold(CallCounts::default(), CallCounts::add)
    }
}

fn part_number(now: Timestamp) -> u64 {
    now.0 / PART_TIME.as_micros() as u64
}

fn place(number: u64) -> usize {
    (number % PARTS as u64) as usize
}

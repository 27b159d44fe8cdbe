//! Sliding-window call counter.

use std::collections::VecDeque;
use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Time slots per window. Calls expire up to one slot late, so at most 1/200 of the limit is refused too
/// early.
const SLOTS_PER_WINDOW: u32 = 200;

/// Limit on a tenant's calls over any sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Sustained rate, in calls per second.
    pub per_second: f64,
    /// Calls per window in addition to the sustained rate.
    pub burst: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl QuotaLimit {
    /// Maximum number of calls in a window.
    pub fn max_calls(&self) -> u64 {
        (self.sustained_calls() + self.burst).max(0.0) as u64
    }

    /// Calls per window at the sustained rate, without the burst.
    pub(crate) fn sustained_calls(&self) -> f64 {
        self.per_second * self.window.as_secs_f64()
    }
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    number: u64,
    calls: u64,
}

/// Counts the calls of the last window in time slots.
#[derive(Debug, Clone)]
pub struct QuotaWindow {
    window: Duration,
    slots: VecDeque<Slot>,
    calls: u64,
}

impl QuotaWindow {
    /// Starts without calls; `window` is the length of the sliding window.
    pub fn new(window: Duration) -> Self {
        Self { window, slots: VecDeque::new(), calls: 0 }
    }

    pub(crate) fn length(&self) -> Duration {
        self.window
    }

    /// Returns a window of another length that holds the same calls, as if all were made now.
    pub(crate) fn resized(&mut self, window: Duration, now: Timestamp) -> Self {
        let mut resized = Self::new(window);
        resized.add(self.calls(now), now);
        resized
    }

    /// Counts `calls` made at `now`.
    pub fn add(&mut self, calls: u64, now: Timestamp) {
        let number = self.slot_at(now);
        self.calls += calls;
        match self.slots.back_mut() {
            // Concurrent callers may pass times slightly out of order; slots stay sorted.
            Some(last) if last.number >= number => last.calls += calls,
            _ => self.slots.push_back(Slot { number, calls }),
        }
    }

    /// Number of calls in the window that ends at `now`.
    pub fn calls(&mut self, now: Timestamp) -> u64 {
        let oldest = self.slot_at(now).saturating_sub(u64::from(SLOTS_PER_WINDOW));
        while self.slots.front().is_some_and(|slot| slot.number < oldest) {
            self.calls -= self.slots.pop_front().map_or(0, |slot| slot.calls);
        }
        self.calls
    }

    /// Start time and calls of each slot, oldest first.
    pub(crate) fn history(&self) -> impl Iterator<Item = (Timestamp, u64)> {
        let micros = self.slot_micros();
        self.slots.iter().map(move |slot| (Timestamp(slot.number * micros), slot.calls))
    }

    /// Time until the `calls` oldest calls have left the window.
    pub fn time_until_expired(&self, calls: u64, now: Timestamp) -> Duration {
        let mut expired = 0;
        for slot in &self.slots {
            expired += slot.calls;
            if expired >= calls {
                let expires_at = (slot.number + u64::from(SLOTS_PER_WINDOW) + 1) * self.slot_micros();
                return Timestamp(expires_at).since(now);
            }
        }
        self.window
    }

    fn slot_at(&self, now: Timestamp) -> u64 {
        now.0 / self.slot_micros()
    }

    fn slot_micros(&self) -> u64 {
        u64::try_from((self.window / SLOTS_PER_WINDOW).as_micros()).unwrap_or(u64::MAX).max(1)
    }
}

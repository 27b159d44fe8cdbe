//! How long an edge's view of the engines has been confirmed without an interruption.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Time between two confirmations from which on the view was interrupted. Feeds confirm every 0.5 s, and a feed that is
/// lost delays the next one's confirmation by 0.8 s.
const MAX_CONFIRMATION_GAP: Duration = Duration::from_millis(1500);

/// Confirmations that a view was current, by a clock that goes on while the process is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct ViewContinuity {
    /// First confirmation after the last interruption; `None` if there was none.
    continuous_since: Option<Timestamp>,
    /// Time at which the view was last known to be current.
    confirmed_at: Option<Timestamp>,
}

impl ViewContinuity {
    /// Records that the view was current at `as_of`. Older confirmations than the last one change nothing.
    pub fn confirm(&mut self, as_of: Timestamp) {
        if self.confirmed_at.is_some_and(|confirmed_at| as_of <= confirmed_at) {
            return;
        }
        if !self.is_confirmed(as_of) {
            self.continuous_since = Some(as_of);
        }
        self.confirmed_at = Some(as_of);
    }

    /// Whether the view was confirmed without an interruption for at least `observation_time` until now.
    pub fn is_continuous_since(&self, now: Timestamp, observation_time: Duration) -> bool {
        let is_long_enough = |since: Timestamp| now.since(since) >= observation_time;
        self.is_confirmed(now) && self.continuous_since.is_some_and(is_long_enough)
    }

    /// Time since the view was last known to be current; `None` if it never was.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    fn is_confirmed(&self, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age <= MAX_CONFIRMATION_GAP)
    }
}

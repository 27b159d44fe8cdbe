//! How long a connection may rest before it is used again, as resets show it.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// How long a reset is remembered.
const REMEMBERED_FOR: Duration = Duration::from_secs(10);
/// Share of the time after which a connection was reset that others may rest.
const SAFE_SHARE: f64 = 0.5;
/// Connections that rested for less are always used: a call that follows at once must not need a new one.
const ALWAYS_ALLOWED: Duration = Duration::from_millis(20);

/// The longest time that a connection may rest.
///
/// An engine may forget a resting connection without a word. What is sent on it next is reset, and nobody can tell
/// whether it ran, so one such reset must be enough to learn from.
#[derive(Debug, Clone, Copy, Default)]
pub struct RestLimit {
    learned: Option<(Duration, Timestamp)>,
}

impl RestLimit {
    /// A request on a connection that had rested so long was reset before anything of an answer came.
    pub fn reset_after(&mut self, rested: Duration, now: Timestamp) {
        let safe = rested.mul_f64(SAFE_SHARE).max(ALWAYS_ALLOWED);
        let limit = self.current(now).map_or(safe, |limit| limit.min(safe));
        self.learned = Some((limit, now));
    }

    /// Whether a connection that has rested so long may be used.
    pub fn allows(&self, rested: Duration, now: Timestamp) -> bool {
        self.current(now).is_none_or(|limit| rested <= limit)
    }

    fn current(&self, now: Timestamp) -> Option<Duration> {
        let (limit, at) = self.learned?;
        (now.since(at) < REMEMBERED_FOR).then_some(limit)
    }
}

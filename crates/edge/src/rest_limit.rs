//! How long a connection may rest before it is used again, as resets show it.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// How long a reset is remembered.
const REMEMBERED_FOR: Duration = Duration::from_secs(10);
/// Share of the time after which a connection was reset that others may rest.
const SAFE_SHARE: f64 = 0.5;
/// Connections that rested for less are always used: a call that follows at once must not need a new one.
const ALWAYS_ALLOWED: Duration = Duration::from_millis(20);
/// A connection that the engine has forgotten is reset as soon as the request arrives. A reset that comes later has
/// another cause.
const RESET_AT_ONCE: Duration = Duration::from_millis(20);
/// For so long after a reset of a new connection, resets say nothing of rest: engines break off whatever they are sent.
const ENGINES_BREAK_OFF_FOR: Duration = Duration::from_secs(8);

/// The longest time that a connection may rest.
///
/// An engine may forget a resting connection without a word. What is sent on it next is reset, and nobody can tell
/// whether it ran, so one such reset must be enough to learn from.
#[derive(Debug, Clone, Copy, Default)]
pub struct RestLimit {
    learned: Option<(Duration, Timestamp)>,
    new_was_reset: Option<Timestamp>,
}

/// A request was reset before anything of an answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reset {
    /// How long its connection had rested; `None` for a new one.
    pub rested: Option<Duration>,
    /// How long after the request was sent.
    pub after: Duration,
}

impl RestLimit {
    /// Learns from a reset.
    pub fn was_reset(&mut self, reset: Reset, now: Timestamp) {
        let Some(rested) = reset.rested else {
            self.new_was_reset = Some(now);
            self.learned = None;
            return;
        };
        let engines_break_off = self.new_was_reset.is_some_and(|at| now.since(at) < ENGINES_BREAK_OFF_FOR);
        if reset.after > RESET_AT_ONCE || engines_break_off {
            return;
        }
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

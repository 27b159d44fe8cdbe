//! Limit on how long a pooled connection may be idle before reuse, learned from connection resets.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// How long a learned limit applies.
const LIMIT_LIFETIME: Duration = Duration::from_secs(10);
/// Fraction of the idle time of a reset connection that is still considered safe.
const SAFE_SHARE: f64 = 0.5;
/// The limit is never below this, so that back-to-back calls can reuse a connection.
const MIN_LIMIT: Duration = Duration::from_millis(20);
/// An engine resets a connection that it has dropped as soon as the request arrives. A later reset has another
/// cause.
const MAX_STALE_RESET_DELAY: Duration = Duration::from_millis(20);
/// For this long after a new connection was reset, resets of idle ones are ignored: the engines reset connections
/// regardless of idle time.
const NEW_RESET_WINDOW: Duration = Duration::from_secs(8);

/// The maximum idle time of pooled connections.
///
/// An engine may drop an idle connection silently. The next request on it is reset, and whether the request ran is
/// unknown, so a single such reset must be enough to lower the limit.
#[derive(Debug, Clone, Copy, Default)]
pub struct IdleLimit {
    learned_limit: Option<(Duration, Timestamp)>,
    last_new_reset: Option<Timestamp>,
}

/// A request whose connection was reset before any of the response arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reset {
    /// How long its connection had been idle; `None` for a new connection.
    pub idle_for: Option<Duration>,
    /// Time from sending the request to the reset.
    pub delay: Duration,
}

impl IdleLimit {
    /// Lowers the limit after a reset that idling explains, and clears it after a reset of a new connection.
    pub fn record_reset(&mut self, reset: Reset, now: Timestamp) {
        let Some(idle_for) = reset.idle_for else {
            self.last_new_reset = Some(now);
            self.learned_limit = None;
            return;
        };
        let has_new_resets = self.last_new_reset.is_some_and(|at| now.since(at) < NEW_RESET_WINDOW);
        if reset.delay > MAX_STALE_RESET_DELAY || has_new_resets {
            return;
        }
        let safe = idle_for.mul_f64(SAFE_SHARE).max(MIN_LIMIT);
        let limit = self.current(now).map_or(safe, |limit| limit.min(safe));
        self.learned_limit = Some((limit, now));
    }

    /// Whether a connection that has been idle for this long may be reused.
    pub fn allows(&self, idle_for: Duration, now: Timestamp) -> bool {
        self.current(now).is_none_or(|limit| idle_for <= limit)
    }

    fn current(&self, now: Timestamp) -> Option<Duration> {
        let (limit, at) = self.learned_limit?;
        (now.since(at) < LIMIT_LIFETIME).then_some(limit)
    }
}

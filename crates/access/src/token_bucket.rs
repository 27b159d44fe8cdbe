//! Token bucket: calls at a sustained rate plus a burst.
//!
//! A sliding window with the same limit may be used up in its first moment. A node that has lost its counts
//! could then admit nothing for the rest of the window. With a bucket it continues at the tenant's rate, as
//! no earlier span held more than the rate and one burst.

use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::quota_window::{QuotaLimit, QuotaWindow};

/// Share of a window's limit, and number of calls, that a bucket holds beyond the burst, so that clustered
/// calls are admitted. The sliding window bounds the total as well; only in a fleet that lost all counts does
/// a deeper bucket add to a window, by [`REDUCED_RATE_SHARE`] of this. Together with the unacknowledged calls
/// of a lost node this stays within the 10% and 20 calls by which a window may exceed its limit.
const EXTRA_DEPTH_SHARE: f64 = 0.10;
const EXTRA_DEPTH_CALLS: f64 = 14.0;
/// Share of its rate that a tenant gets for one window from a node that does not know the previous window.
/// Tenants usually use 0.6 of their rate.
const REDUCED_RATE_SHARE: f64 = 0.7;
/// Initial tokens on a node that takes over a tenant or does not know what was admitted before it started.
/// With [`EXTRA_DEPTH_CALLS`] and the unacknowledged calls of lost nodes, two losses in a window stay within
/// the excess that a window may hold.
const INITIAL_TOKENS: f64 = 3.0;

#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenBucket {
    limit: QuotaLimit,
    /// Calls that may be made now; negative if other nodes admitted more than that.
    tokens: f64,
    refilled_at: Timestamp,
    /// Until then the previous window may include calls from before this node's start, which it does not
    /// know.
    reduced_rate_until: Timestamp,
}

impl TokenBucket {
    /// Replays the calls of `window`, which are complete since `known_since`.
    pub(crate) fn replay(
        window: &QuotaWindow,
        limit: QuotaLimit,
        known_since: Timestamp,
        now: Timestamp,
    ) -> Self {
        let start = known_since.max(now - limit.window);
        let reduced_rate_until = known_since + limit.window;
        let mut bucket = Self { limit, tokens: INITIAL_TOKENS, refilled_at: start, reduced_rate_until };
        for (at, calls) in window.history() {
            bucket.take(calls, at.max(start));
        }
        bucket.refill(now);
        bucket
    }

    pub(crate) fn set_limit(&mut self, limit: QuotaLimit, now: Timestamp) {
        self.refill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Time until one more call may be made; `None` if it may be made now.
    pub(crate) fn time_until_token(&mut self, now: Timestamp) -> Option<Duration> {
        self.refill(now);
        let missing = 1.0 - self.tokens;
        (missing > 0.0)
            .then(|| Duration::from_secs_f64(missing / self.limit.per_second.max(f64::MIN_POSITIVE)))
    }

    /// Removes tokens for calls admitted on this or another node.
    pub(crate) fn take(&mut self, calls: u64, now: Timestamp) {
        self.refill(now);
        self.tokens -= calls as f64;
    }

    fn refill(&mut self, now: Timestamp) {
        let reduced_rate_secs = self.reduced_rate_until.min(now).since(self.refilled_at).as_secs_f64();
        let full_rate_secs = now.since(self.refilled_at.max(self.reduced_rate_until)).as_secs_f64();
        let added = self.limit.per_second * (reduced_rate_secs * REDUCED_RATE_SHARE + full_rate_secs);
        self.tokens = (self.tokens + added).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn capacity(&self) -> f64 {
        self.limit.burst + EXTRA_DEPTH_CALLS + self.limit.max_calls() as f64 * EXTRA_DEPTH_SHARE
    }
}

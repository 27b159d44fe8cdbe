//! Selects the feed that a follower asks, and decides when it uses the store itself.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Consecutive feeds that may fail to respond before the follower switches to the store.
const MAX_UNRESPONSIVE_FEEDS: usize = 3;
/// Time that a follower uses the store before it tries feeds again.
const STORE_PERIOD: Duration = Duration::from_secs(2);

/// Outcome of a request to a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedOutcome {
    /// Response of a feed that is up to date.
    Current,
    /// Response of a feed that is not up to date.
    Stale,
    /// The request failed or timed out.
    NoResponse,
}

/// Next source of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextSource {
    /// Request changes from a feed.
    Feed {
        /// Index in the list of feeds.
        index: usize,
        /// Whether the response may wait for a change.
        may_wait: bool,
    },
    /// Follow the store until a time.
    Store {
        /// When feeds are tried again.
        until: Timestamp,
    },
    /// Wait for feeds to become known.
    Wait {
        /// When the follower switches to the store if there are still none.
        until: Timestamp,
    },
}

/// Chooses between feeds and the store.
///
/// A follower stays with a feed that reaches the store, and moves on to the next one if a request fails or
/// the feed does not reach the store. After [`MAX_UNRESPONSIVE_FEEDS`] consecutive failures it follows the store
/// for a while. If feeds respond but none reaches the store, the store is most likely down, and requests from
/// every node would only add to its load: the follower cycles through the feeds, with one waiting request to
/// each.
#[derive(Debug, Clone)]
pub struct SourceChoice {
    wait_for_feeds_until: Timestamp,
    next_feed: usize,
    consecutive_unresponsive: usize,
    consecutive_stale: usize,
    store_until: Option<Timestamp>,
}

impl SourceChoice {
    /// Starts without a known feed; if none becomes known within `startup_wait`, the follower switches to the
    /// store.
    pub fn new(now: Timestamp, startup_wait: Duration) -> Self {
        Self {
            wait_for_feeds_until: now + startup_wait,
            next_feed: 0,
            consecutive_unresponsive: 0,
            consecutive_stale: 0,
            store_until: None,
        }
    }

    /// Returns the next source; `feeds` is the number of known feeds.
    pub fn next(&mut self, feeds: usize, now: Timestamp) -> NextSource {
        if let Some(until) = self.store_until.take().filter(|until| *until > now) {
            self.store_until = Some(until);
            return NextSource::Store { until };
        }
        if feeds == 0 {
            if now < self.wait_for_feeds_until {
                return NextSource::Wait { until: self.wait_for_feeds_until };
            }
            return self.switch_to_store(now);
        }
        if self.consecutive_unresponsive >= MAX_UNRESPONSIVE_FEEDS.min(feeds) {
            return self.switch_to_store(now);
        }
        // After one round of stale feeds, requests wait at each feed instead of returning at once.
        let may_wait = self.consecutive_unresponsive == 0
            && (self.consecutive_stale == 0 || self.consecutive_stale >= feeds);
        NextSource::Feed { index: self.next_feed % feeds, may_wait }
    }

    /// Records the outcome of the last request to a feed.
    pub fn record_outcome(&mut self, outcome: FeedOutcome) {
        match outcome {
            FeedOutcome::Current => {
                self.consecutive_unresponsive = 0;
                self.consecutive_stale = 0;
            }
            FeedOutcome::Stale => {
                self.consecutive_unresponsive = 0;
                self.consecutive_stale += 1;
                self.next_feed += 1;
            }
            FeedOutcome::NoResponse => {
                self.consecutive_unresponsive += 1;
                self.next_feed += 1;
            }
        }
    }

    fn switch_to_store(&mut self, now: Timestamp) -> NextSource {
        self.consecutive_unresponsive = 0;
        let until = now + STORE_PERIOD;
        self.store_until = Some(until);
        NextSource::Store { until }
    }
}

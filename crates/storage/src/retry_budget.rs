//! Retry budget: a token bucket filled by first requests, as in Finagle and linkerd. It keeps the hedges and
//! retries of a node to a share of its requests, so that a slow group gets little extra load.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// Tokens earned by each first request: further requests are limited to a tenth of the first ones, as the users require.
const RETRY_RATIO: f64 = 0.1;
/// Tokens earned per second, so that a node with few calls can hedge at all.
const MIN_RETRIES_PER_SECOND: f64 = 4.0;
/// Capacity of the bucket: after the loss of a member a node hedges a few requests at once before it marks it
/// suspect.
const MAX_TOKENS: f64 = 20.0;

/// Retry budget of one node, shared by its requests.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget(Mutex<Bucket>);

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled: Option<Instant>,
}

impl Default for Bucket {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS, refilled: None }
    }
}

impl RetryBudget {
    /// Deposits tokens for first requests.
    pub(crate) fn record_requests(&self, requests: usize) {
        self.bucket().deposit(requests as f64 * RETRY_RATIO);
    }

    /// Takes a token for one more request; returns whether there was one.
    pub(crate) fn try_withdraw(&self, now: Instant) -> bool {
        let mut bucket = self.bucket();
        let since =
            bucket.refilled.replace(now).map_or(0.0, |refilled| now.duration_since(refilled).as_secs_f64());
        bucket.deposit(since * MIN_RETRIES_PER_SECOND);
        let may_ask = bucket.tokens >= 1.0;
        if may_ask {
            bucket.tokens -= 1.0;
        }
        may_ask
    }

    fn bucket(&self) -> MutexGuard<'_, Bucket> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Bucket {
    fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(MAX_TOKENS);
    }
}

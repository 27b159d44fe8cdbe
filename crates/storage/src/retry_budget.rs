//! A budget for questions that are asked beyond the first ones, so that a slow group is not asked harder.
//!
//! A token bucket filled by the questions themselves, as clients of RPC systems have it (Finagle and linkerd call it a
//! retry budget): hedges and repeats of a node stay a share of what it asks anyhow.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// Further questions allowed for each question that had to be asked: the tenth that the users ask for.
const SHARE: f64 = 0.1;
/// Further questions a second that are always allowed, so that a node with few calls may hedge at all.
const RESERVE_PER_SECOND: f64 = 4.0;
/// Most that is saved up: one lost member makes a node hedge a few questions at once before it is suspected.
const MOST_SAVED: f64 = 20.0;

/// The budget of one node, shared by its questions.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget(Mutex<Bucket>);

#[derive(Debug)]
struct Bucket {
    saved: f64,
    filled: Option<Instant>,
}

impl Default for Bucket {
    fn default() -> Self {
        Self { saved: MOST_SAVED, filled: None }
    }
}

impl RetryBudget {
    /// So many questions had to be asked.
    pub(crate) fn asked(&self, questions: usize) {
        self.bucket().save(questions as f64 * SHARE);
    }

    /// Whether one more question may be asked; if so, it is paid for.
    pub(crate) fn may_ask_again(&self, now: Instant) -> bool {
        let mut bucket = self.bucket();
        let since = bucket.filled.replace(now).map_or(0.0, |filled| now.duration_since(filled).as_secs_f64());
        bucket.save(since * RESERVE_PER_SECOND);
        let may_ask = bucket.saved >= 1.0;
        if may_ask {
            bucket.saved -= 1.0;
        }
        may_ask
    }

    fn bucket(&self) -> MutexGuard<'_, Bucket> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Bucket {
    fn save(&mut self, more: f64) {
        self.saved = (self.saved + more).min(MOST_SAVED);
    }
}

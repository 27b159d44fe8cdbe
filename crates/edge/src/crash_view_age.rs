//! How old an edge's knowledge of crashes may be that other edges have reported.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Age from which on the storage nodes are asked before a request without an admission is sent. Longer than a feed holds a
/// request while there is nothing to tell.
const MAX_AGE: Duration = Duration::from_millis(700);
/// How long they are not asked again after no majority of them has replied.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    /// When a feed last brought all that it knew; `None` if none has yet.
    confirmed: Option<Timestamp>,
    /// When the storage nodes last failed to reply.
    failed: Option<Timestamp>,
}

/// When an edge last learned of all crashes that a feed knew.
#[derive(Debug, Default)]
pub(crate) struct CrashViewAge(Mutex<State>);

impl CrashViewAge {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a feed has brought all that it knows.
    pub(crate) fn confirm(&self, now: Timestamp) {
        self.lock().confirmed = Some(now);
    }

    /// Records that no majority of the storage nodes replied.
    pub(crate) fn record_failure(&self, now: Timestamp) {
        self.lock().failed = Some(now);
    }

    /// Whether the storage nodes have to be asked.
    pub(crate) fn must_ask(&self, now: Timestamp) -> bool {
        let state = self.lock();
        let is_recent = |at: Option<Timestamp>, within: Duration| at.is_some_and(|at| now.since(at) < within);
        !is_recent(state.confirmed, MAX_AGE) && !is_recent(state.failed, RETRY_PAUSE)
    }
}

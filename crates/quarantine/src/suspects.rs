//! Requests that are close to the crash limit, as known to one edge.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_calls::RequestFingerprint;
use sumacdrift_types::Timestamp;

use crate::bounded::make_room;
use crate::crash_history::CRASH_RETENTION;

/// A request that has crashed an engine, or for which one more crash reaches the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct SuspectRequest {
    pub request: RequestFingerprint,
    /// Time until it is forgotten.
    pub remaining: Duration,
}

impl SuspectRequest {
    /// A request that has just lost an engine.
    pub fn new(request: RequestFingerprint) -> Self {
        Self { request, remaining: CRASH_RETENTION }
    }
}

/// Requests that are reported before they are sent, since an edge that is lost with one could not report the crash; at most
/// 4,096. The one that expires first gives way.
#[derive(Debug, Default)]
pub struct SuspectRequests {
    until: HashMap<RequestFingerprint, Timestamp>,
}

impl SuspectRequests {
    /// Adds a request; returns whether it was unknown.
    pub fn add(&mut self, added: SuspectRequest, now: Timestamp) -> bool {
        let SuspectRequest { request, remaining } = added;
        if remaining.is_zero() {
            return false;
        }
        let is_new = !self.contains(request, now);
        if is_new {
            make_room(&mut self.until, |until| *until <= now, |until| *until);
        }
        let until = now + remaining.min(CRASH_RETENTION);
        let known = self.until.entry(request).or_insert(until);
        *known = until.max(*known);
        is_new
    }

    /// Whether a request is close to the limit.
    pub fn contains(&self, request: RequestFingerprint, now: Timestamp) -> bool {
        self.until.get(&request).is_some_and(|until| *until > now)
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.until.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Drops the requests whose time is over.
    pub fn expire(&mut self, now: Timestamp) {
        self.until.retain(|_, until| *until > now);
    }
}

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
    entries: HashMap<RequestFingerprint, Entry>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    since: Timestamp,
    until: Timestamp,
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
            self.entries.remove(&request);
            make_room(&mut self.entries, |entry| entry.until <= now, |entry| entry.until);
        }
        let until = now + remaining.min(CRASH_RETENTION);
        let known = self.entries.entry(request).or_insert(Entry { since: now, until });
        known.until = until.max(known.until);
        is_new
    }

    /// Whether a request is close to the limit.
    pub fn contains(&self, request: RequestFingerprint, now: Timestamp) -> bool {
        self.known_since(request, now).is_some()
    }

    /// Since when a request has been close to the limit; `None` if it is not.
    pub fn known_since(&self, request: RequestFingerprint, now: Timestamp) -> Option<Timestamp> {
        self.entries.get(&request).filter(|entry| entry.until > now).map(|entry| entry.since)
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops the requests whose time is over.
    pub fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| entry.until > now);
    }
}

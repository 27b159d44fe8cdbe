//! Requests that are sent to no engine, as known to one edge.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_calls::RequestFingerprint;
use sumacdrift_types::Timestamp;

use crate::bounded::make_room;

/// How long a request stays in quarantine.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// A request in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct QuarantinedRequest {
    pub request: RequestFingerprint,
    /// Time until it leaves the quarantine.
    pub remaining: Duration,
}

/// Requests in quarantine, with the time at which they leave it; at most 4,096. The one that leaves first gives way.
#[derive(Debug, Default)]
pub struct Quarantine {
    until: HashMap<RequestFingerprint, Timestamp>,
}

impl Quarantine {
    /// Adds a request; returns whether it was not in quarantine.
    pub fn add(&mut self, added: QuarantinedRequest, now: Timestamp) -> bool {
        let QuarantinedRequest { request, remaining } = added;
        if remaining.is_zero() {
            return false;
        }
        let until = now + remaining.min(QUARANTINE_TIME);
        let is_new = self.remaining(request, now).is_none();
        if is_new {
            make_room(&mut self.until, |until| *until <= now, |until| *until);
        }
        let known = self.until.entry(request).or_insert(until);
        *known = until.max(*known);
        is_new
    }

    /// Time until a request leaves the quarantine; `None` if it is not in it.
    pub fn remaining(&self, request: RequestFingerprint, now: Timestamp) -> Option<Duration> {
        self.until.get(&request).map(|until| until.since(now)).filter(|remaining| !remaining.is_zero())
    }

    /// Whether no request is in quarantine.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Number of requests in quarantine.
    pub fn len(&self) -> usize {
        self.until.len()
    }

    /// Drops the requests whose time is over.
    pub fn expire(&mut self, now: Timestamp) {
        self.until.retain(|_, until| *until > now);
    }
}

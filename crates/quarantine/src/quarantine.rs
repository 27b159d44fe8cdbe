//! Requests that are sent to no engine, as known to one edge.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_calls::RequestFingerprint;
use sumacdrift_types::Timestamp;

use crate::bounded::make_room;
use crate::crash_history::Certainty;

/// How long a request stays in quarantine.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// How long it stays there if some of the crashes are only suspected. Renewed while they are.
pub const SUSPICION_TIME: Duration = Duration::from_millis(2_500);

/// A request in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct QuarantinedRequest {
    pub request: RequestFingerprint,
    /// Whether all crashes under it are confirmed.
    pub certainty: Certainty,
    /// Time until it leaves the quarantine.
    pub remaining: Duration,
}

impl QuarantinedRequest {
    /// A request under which as many engines as allowed have crashed.
    pub fn confirmed(request: RequestFingerprint) -> Self {
        Self { request, certainty: Certainty::Confirmed, remaining: QUARANTINE_TIME }
    }

    /// A request under which as many engines as allowed may have crashed.
    pub fn suspected(request: RequestFingerprint) -> Self {
        Self { request, certainty: Certainty::Suspected, remaining: SUSPICION_TIME }
    }
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    until: Timestamp,
    certainty: Certainty,
}

/// Requests in quarantine, with the time at which they leave it; at most 4,096. The one that leaves first gives way.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: HashMap<RequestFingerprint, Entry>,
}

impl Quarantine {
    /// Adds a request; returns whether it was not in quarantine with this certainty.
    pub fn add(&mut self, added: QuarantinedRequest, now: Timestamp) -> bool {
        let QuarantinedRequest { request, certainty, remaining } = added;
        if remaining.is_zero() {
            return false;
        }
        let added = Entry { until: now + remaining.min(QUARANTINE_TIME), certainty };
        let Some(known) = self.entries.get_mut(&request).filter(|known| known.until > now) else {
            make_room(&mut self.entries, |entry| entry.until <= now, |entry| entry.until);
            self.entries.insert(request, added);
            return true;
        };
        let is_confirmed = known.certainty == Certainty::Suspected && certainty == Certainty::Confirmed;
        if is_confirmed {
            known.certainty = Certainty::Confirmed;
        }
        known.until = known.until.max(added.until);
        is_confirmed
    }

    /// The state of a request; `None` if it is not in quarantine.
    pub fn find(&self, request: RequestFingerprint, now: Timestamp) -> Option<QuarantinedRequest> {
        let entry = self.entries.get(&request).filter(|entry| entry.until > now)?;
        Some(QuarantinedRequest { request, certainty: entry.certainty, remaining: entry.until.since(now) })
    }

    /// Whether no request is in quarantine.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of requests in quarantine.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Drops the requests whose time is over.
    pub fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| entry.until > now);
    }
}

//! Requests without an identity of their own that engines served recently, as known to one edge.

use std::collections::{HashMap, VecDeque};

use sumacdrift_calls::RequestFingerprint;
use sumacdrift_types::Timestamp;

use crate::bounded::MAX_REQUESTS;
use crate::crash_history::CRASH_RETENTION;

/// Recently served requests; at most 4,096, about 200 KB. Many callers may send equal requests, such as the same path without a body. An engine that
/// crashes under one of them has crashed for another reason if others were served.
#[derive(Debug, Default)]
pub struct RecentlyServed {
    served_at: HashMap<RequestFingerprint, Timestamp>,
    /// In order of the first entry of each request.
    order: VecDeque<RequestFingerprint>,
}

impl RecentlyServed {
    /// Records that an engine served a request.
    pub fn record(&mut self, request: RequestFingerprint, now: Timestamp) {
        if self.served_at.insert(request, now).is_some() {
            return;
        }
        self.order.push_back(request);
        if self.order.len() > MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.served_at.remove(&oldest);
        }
    }

    /// Whether an engine served an equal request within [`CRASH_RETENTION`].
    pub fn contains(&self, request: RequestFingerprint, now: Timestamp) -> bool {
        self.served_at.get(&request).is_some_and(|served_at| now.since(*served_at) < CRASH_RETENTION)
    }
}

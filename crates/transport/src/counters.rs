//! Counters of traffic between nodes.

use std::sync::atomic::{AtomicU64, Ordering};

/// Traffic counters shared by all connections of a node.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    sent_messages: AtomicU64,
    sent_bytes: AtomicU64,
    received_messages: AtomicU64,
    received_bytes: AtomicU64,
}

/// A reading of the traffic counters. Messages are frames, and bytes include frame headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[allow(missing_docs)]
pub struct TrafficTotals {
    pub sent_messages: u64,
    pub sent_bytes: u64,
    pub received_messages: u64,
    pub received_bytes: u64,
}

impl TrafficCounters {
    pub(crate) fn record_sent(&self, bytes: usize) {
        self.sent_messages.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_received(&self, bytes: usize) {
        self.received_messages.fetch_add(1, Ordering::Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Reads the counters; each one separately.
    pub fn totals(&self) -> TrafficTotals {
        TrafficTotals {
            sent_messages: self.sent_messages.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received_messages: self.received_messages.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
        }
    }
}

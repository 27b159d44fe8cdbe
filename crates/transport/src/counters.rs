//! Counters of traffic between nodes.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters that every connection of a node adds to.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    sent_messages: AtomicU64,
    sent_bytes: AtomicU64,
    received_messages: AtomicU64,
    received_bytes: AtomicU64,
}

/// The counters at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TrafficTotals {
    /// Frames sent.
    pub sent_messages: u64,
    /// Bytes sent, frame headers included.
    pub sent_bytes: u64,
    /// Frames received.
    pub received_messages: u64,
    /// Bytes received, frame headers included.
    pub received_bytes: u64,
}

impl TrafficCounters {
    pub(crate) fn sent(&self, bytes: usize) {
        self.sent_messages.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn received(&self, bytes: usize) {
        self.received_messages.fetch_add(1, Ordering::Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Reads the counters.
    pub fn totals(&self) -> TrafficTotals {
        TrafficTotals {
            sent_messages: self.sent_messages.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received_messages: self.received_messages.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
        }
    }
}

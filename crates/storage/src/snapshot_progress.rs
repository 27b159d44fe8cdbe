//! When the journal needs a snapshot, and how much content leaves room for one.

use std::sync::atomic::{AtomicU64, Ordering};

/// Minimum number of journal bytes since the last snapshot before another one is taken.
const MIN_SNAPSHOT_BYTES: u64 = 48 << 20;
/// Journal bytes since the last snapshot that trigger another one, as a multiple of its size.
const SNAPSHOT_GROWTH_FACTOR: u64 = 2;
/// A snapshot is taken in any case at this fraction (1/n) of the journal capacity: it must fit beside the
/// segments it replaces.
const SNAPSHOT_CAPACITY_DIVISOR: u64 = 3;
/// Content of retained turns is limited to this fraction (1/n) of the journal capacity: a snapshot with all of it must fit beside
/// the preceding one and the records since.
const CONTENT_CAPACITY_DIVISOR: u64 = 4;

/// Content of retained turns that leaves room for a snapshot in a journal of this capacity, both in bytes.
pub(crate) fn max_content_bytes(capacity_bytes: u64) -> u64 {
    capacity_bytes / CONTENT_CAPACITY_DIVISOR
}

/// Growth of the journal since the last snapshot.
#[derive(Debug)]
pub(crate) struct SnapshotProgress {
    capacity_bytes: u64,
    since_snapshot: AtomicU64,
    last_snapshot: AtomicU64,
}

impl SnapshotProgress {
    /// Progress of a journal that has `total_bytes` at the start. Segments of earlier processes take space until the next
    /// snapshot too.
    pub(crate) fn new(capacity_bytes: u64, total_bytes: u64) -> Self {
        Self {
            capacity_bytes,
            since_snapshot: AtomicU64::new(total_bytes),
            last_snapshot: AtomicU64::default(),
        }
    }

    /// Whether the journal has grown enough for a snapshot.
    pub(crate) fn is_due(&self) -> bool {
        let grown = self.since_snapshot.load(Ordering::Relaxed);
        let last = self.last_snapshot.load(Ordering::Relaxed);
        let growth_threshold = MIN_SNAPSHOT_BYTES.max(last * SNAPSHOT_GROWTH_FACTOR);
        grown >= growth_threshold.min(self.capacity_bytes / SNAPSHOT_CAPACITY_DIVISOR)
    }

    /// Records bytes that were queued for the journal.
    pub(crate) fn record_queued(&self, bytes: usize) {
        self.since_snapshot.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records that a snapshot begins.
    pub(crate) fn begin(&self) {
        self.since_snapshot.store(0, Ordering::Relaxed);
    }

    /// Records that the snapshot is durable; returns the bytes written since it began.
    pub(crate) fn finish(&self) -> u64 {
        let written = self.since_snapshot.swap(0, Ordering::Relaxed);
        self.last_snapshot.store(written, Ordering::Relaxed);
        written
    }
}

//! Ring buffer of a feed's latest changes. Every follower requests the changes after its position on each
//! change, so a response must not scan all items.

use std::collections::VecDeque;

use crate::feed::Key;

/// Maximum number of changes kept, 0.1 MB. Followers lag by a fraction of a second, and a rolling update of
/// thousands of engines makes some hundreds of changes per second. For a follower that lags further, all
/// items are scanned.
const MAX_RECENT_CHANGES: usize = 1024;

/// Ordered by position, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentChanges {
    entries: VecDeque<(u64, Key)>,
    /// Position of the newest evicted change.
    last_evicted: u64,
}

impl RecentChanges {
    /// Appends a change; positions must increase.
    pub(crate) fn record(&mut self, position: u64, key: Key) {
        self.entries.push_back((position, key));
        if self.entries.len() > MAX_RECENT_CHANGES
            && let Some((position, _)) = self.entries.pop_front()
        {
            self.last_evicted = position;
        }
    }

    /// Changes after a position; `None` if some of them were evicted.
    pub(crate) fn since(&self, after: u64) -> Option<impl Iterator<Item = &(u64, Key)>> {
        let first = self.entries.partition_point(|(position, _)| *position <= after);
        (after >= self.last_evicted).then(|| self.entries.range(first..))
    }
}

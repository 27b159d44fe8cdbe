//! The latest changes of a feed by their positions. Every follower asks for what is behind its own position at each change, so an
//! answer must not look at everything that the feed holds.

use std::collections::VecDeque;

use crate::feed::Key;

/// Changes that are remembered, 0.1 MB. A follower is a fraction of a second behind, and a rolling update of thousands of
/// engines makes some hundreds of changes a second; for one that is further behind all items are looked through.
const MOST_REMEMBERED: usize = 1024;

/// The latest changes, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentChanges {
    entries: VecDeque<(u64, Key)>,
    /// Position of the newest change that was forgotten.
    forgotten: u64,
}

impl RecentChanges {
    /// An item changed; positions rise.
    pub(crate) fn note(&mut self, position: u64, key: Key) {
        self.entries.push_back((position, key));
        if self.entries.len() > MOST_REMEMBERED
            && let Some((position, _)) = self.entries.pop_front()
        {
            self.forgotten = position;
        }
    }

    /// Changes behind a position; `None` where some of them were forgotten.
    pub(crate) fn since(&self, after: u64) -> Option<impl Iterator<Item = &(u64, Key)>> {
        let first = self.entries.partition_point(|(position, _)| *position <= after);
        (after >= self.forgotten).then(|| self.entries.range(first..))
    }
}

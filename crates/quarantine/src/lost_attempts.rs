//! Attempts that may have been lost together with their edge, as known to another edge.

use std::collections::VecDeque;
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::crash_history::CRASH_RETENTION;

/// Maximum number of losses. A feed announces one a second, each for [`CRASH_RETENTION`]; the oldest gives way.
const MAX_LOSSES: usize = 64;

/// When edges were lost with the attempts that they had under way.
///
/// A request that has crashed an engine is reported before it is sent, so only attempts from before its first known crash can
/// be lost unnoticed.
#[derive(Debug, Default)]
pub struct LostAttempts {
    lost_at: VecDeque<Timestamp>,
}

impl LostAttempts {
    /// Records that an edge was lost; returns when. `remaining` is the part of [`CRASH_RETENTION`] for which that still counts.
    pub fn record(&mut self, remaining: Duration, now: Timestamp) -> Option<Timestamp> {
        if remaining.is_zero() {
            return None;
        }
        let lost_at = now - CRASH_RETENTION.saturating_sub(remaining);
        self.lost_at.push_back(lost_at);
        if self.lost_at.len() > MAX_LOSSES {
            self.lost_at.pop_front();
        }
        Some(lost_at)
    }

    /// Whether an attempt may have been lost within [`CRASH_RETENTION`] before a time.
    pub fn may_precede(&self, time: Timestamp) -> bool {
        self.lost_at.iter().any(|lost_at| *lost_at <= time && time.since(*lost_at) < CRASH_RETENTION)
    }
}

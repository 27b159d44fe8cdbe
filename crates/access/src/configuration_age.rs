//! Age of the configuration in force on a node, measured at its source.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Share of the allowed time kept as a margin: clock rates of two machines may differ by 0.1%, and ages are
/// reported in whole milliseconds.
const CLOCK_MARGIN_SHARE: f64 = 0.02;
/// Age above which an unknown key may have been added since. An edge whose source reaches the store learns of
/// a change within 2.1 s: 1.6 s between two reads of the store by one node, plus 0.5 s until an edge polls
/// that node again.
const UNKNOWN_KEY_MAX_AGE: Duration = Duration::from_millis(2500);

/// Maximum age of the configuration by which keys are accepted and rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationAgeLimits {
    /// Age above which a known key is rejected; `None` if withdrawn keys may keep working.
    pub known_key: Option<Duration>,
    /// Age above which a key that is not in the table may have been added since, so that it is not reported
    /// as unknown.
    pub unknown_key: Duration,
}

impl ConfigurationAgeLimits {
    /// Limits that reject a key `within` this time after its withdrawal was acknowledged; `None` sets no such
    /// limit.
    ///
    /// A call is decided after it was sent. So if the configuration is no older than `within`, a call sent
    /// later than that after the withdrawal finds the withdrawal known.
    pub fn for_withdrawal_deadline(within: Option<Duration>) -> Self {
        let known_key = within.map(|within| within.mul_f64(1.0 - CLOCK_MARGIN_SHARE));
        Self { known_key, unknown_key: UNKNOWN_KEY_MAX_AGE }
    }
}

/// Age of the configuration in force, by this node's monotonic clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigurationAge {
    /// Latest time at which the store is known to have held nothing newer than the configuration in force.
    confirmed_at: Option<Timestamp>,
}

impl ConfigurationAge {
    /// Records that the store held nothing newer at `as_of`.
    pub fn confirm(&mut self, as_of: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Time since the last confirmation; `None` if there was none.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }
}

//! Whether an engine ended as planned.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// How much later than the directory an edge may learn of an announcement, and sooner of an end.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(250);

/// The end of an engine, as observed by an edge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineEnd {
    /// When the edge learned that the engine would end: its entry said that it drains, or was removed. `None` if it has not.
    pub announced: Option<Timestamp>,
    /// The latest time at which the engine may have ended.
    pub ended: Timestamp,
}

impl EngineEnd {
    /// Whether the engine served on for `drain_time` after it had announced its end. An engine that ends sooner has crashed,
    /// whatever it announced: it may have been found failing, or an unrelated release may have taken it.
    pub fn is_planned(&self, drain_time: Duration) -> bool {
        let planned_from = drain_time.saturating_sub(ANNOUNCEMENT_DELAY);
        self.announced.is_some_and(|announced| self.ended >= announced + planned_from)
    }
}

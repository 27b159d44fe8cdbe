//! The order in which an engine's waiting calls are served.

use std::time::Duration;

use sumacdrift_types::{Timestamp, TokenCount};

use crate::{PriorityRank, Work};

/// Parameters of the order.
#[derive(Debug, Clone, Copy)]
pub struct OrderSettings {
    /// Attained service below which all programs are equal; each further level is twice as long.
    pub first_level_tokens: TokenCount,
    /// A call that waited this long goes before all others: the starvation bound.
    pub starvation_bound: Duration,
    /// A call whose deadline is nearer than this goes before others of its class.
    pub urgent_slack: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            first_level_tokens: 512,
            starvation_bound: Duration::from_secs(30),
            urgent_slack: Duration::from_secs(5),
        }
    }
}

/// Position in the queue; smaller is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    is_not_starving: bool,
    rank: PriorityRank,
    is_not_urgent: bool,
    level: u32,
    enqueued: Timestamp,
}

/// Works out a call's position.
///
/// Within a class, programs that received little service go first. The lengths of programs are not known in
/// advance and vary widely, and for such lengths least attained service comes close to serving the shortest
/// first. Levels double in length, so that long programs of similar age do not take turns and stretch each
/// other. A call that waited past the bound goes first whatever its class.
pub fn order_key(settings: &OrderSettings, work: &Work, enqueued: Timestamp, now: Timestamp) -> OrderKey {
    let level = (work.attained_tokens / settings.first_level_tokens.max(1)).checked_ilog2();
    let is_urgent = work.deadline.is_some_and(|deadline| deadline < now + settings.urgent_slack);
    OrderKey {
        is_not_starving: now.since(enqueued) < settings.starvation_bound,
        rank: work.rank,
        is_not_urgent: !is_urgent,
        level: level.map_or(0, |level| level + 1),
        enqueued,
    }
}

//! Service order of the calls queued at one engine.

use std::time::Duration;

use sumacdrift_types::{Timestamp, TokenCount};

use crate::{EngineWork, PriorityRank};

/// Thresholds of the service order.
#[derive(Debug, Clone, Copy)]
pub struct OrderSettings {
    /// Attained tokens below which a program is on the first level; each further level is twice as large.
    pub first_level_tokens: TokenCount,
    /// Waiting time after which a call precedes all others.
    pub starvation_bound: Duration,
    /// Time to the deadline below which a call precedes the others of its rank.
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

/// Sort key of a queued call; the smallest is served first. The flags are negated because `false` sorts first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    is_not_starving: bool,
    rank: PriorityRank,
    is_not_urgent: bool,
    level: u32,
    enqueued_at: Timestamp,
}

/// Computes the sort key of a call.
///
/// Within a rank, programs with the least attained service go first. Program lengths are unknown in advance and
/// vary widely; for such lengths this approximates shortest job first. Levels double in size, so that long
/// programs of similar age don't alternate and delay each other. A call that waited past the starvation bound
/// goes first whatever its rank.
pub fn order_key(
    settings: &OrderSettings,
    work: &EngineWork,
    enqueued_at: Timestamp,
    now: Timestamp,
) -> OrderKey {
    let level = (work.attained_tokens / settings.first_level_tokens.max(1)).checked_ilog2();
    let is_urgent = work.deadline.is_some_and(|deadline| deadline < now + settings.urgent_slack);
    OrderKey {
        is_not_starving: now.since(enqueued_at) < settings.starvation_bound,
        rank: work.rank,
        is_not_urgent: !is_urgent,
        level: level.map_or(0, |level| level + 1),
        enqueued_at,
    }
}

//! How the room of a service is shared between ranks, and between the nodes that use it.
//!
//! Needed when load is larger than the room: without it all nodes send what they have, the engines' queues fill in the
//! order of arrival, and the highest rank waits behind the lowest. Each node works its part out by itself from what all
//! told of their demand, so the parts add up to the room as far as all know the same.

use crate::PriorityRank;

/// Part of a service's room that a lower rank keeps while higher ones ask for all of it, so that its programs still end.
const LEAST_SHARE: f64 = 0.05;

/// Calls of one rank that want to use a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankDemand {
    /// The rank; lower is served first.
    pub rank: PriorityRank,
    /// Calls under way at engines.
    pub running: f64,
    /// Calls that wait for room.
    pub waiting: f64,
}

impl RankDemand {
    /// Calls under way and waiting.
    pub fn calls(&self) -> f64 {
        self.running + self.waiting
    }
}

/// The room of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceRoom {
    /// Calls that its engines work on at once.
    pub slots: f64,
    /// Calls that engines hold besides, so that none is idle until the next call reaches it.
    pub short_queue: f64,
    /// Calls under way there of which no node told a rank.
    pub unranked: f64,
}

impl ServiceRoom {
    /// Calls that a rank may have under way there. Ranks below the highest leave half of the short queue free: a call of
    /// the highest rank that asks for room then reaches an engine at once also while lower ranks fill all slots.
    fn limit(&self, is_highest: bool) -> f64 {
        let queue = if is_highest { self.short_queue } else { self.short_queue / 2.0 };
        (self.slots + queue - self.unranked).max(0.0)
    }
}

/// What this node may have under way at a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankShare {
    /// The rank.
    pub rank: PriorityRank,
    /// Calls of the rank that this node may have under way.
    pub calls: f64,
    /// Calls of the rank that all nodes may have under way.
    pub of_all: f64,
}

/// This node's shares of a room, from the highest rank to the lowest, by its own demand and that of all others.
///
/// Higher ranks come first; within a rank each node gets as much as its part of the demand.
pub fn shares(room: &ServiceRoom, own: &[RankDemand], others: &[RankDemand]) -> Vec<RankShare> {
    let mut ranks: Vec<PriorityRank> = own.iter().chain(others).map(|demand| demand.rank).collect();
    ranks.sort_unstable();
    ranks.dedup();
    let highest = ranks.first().copied();
    let mut used = 0.0;
    let mut shares = Vec::with_capacity(ranks.len());
    for rank in ranks {
        let limit = room.limit(Some(rank) == highest);
        let own_calls = calls_of(own, rank);
        let all_calls = own_calls + calls_of(others, rank);
        let least = all_calls.min(limit * LEAST_SHARE);
        let of_all = all_calls.min(limit - used).max(least);
        used += of_all;
        let part = if all_calls > 0.0 { own_calls / all_calls } else { 0.0 };
        shares.push(RankShare { rank, calls: of_all * part, of_all });
    }
    shares
}

fn calls_of(demands: &[RankDemand], rank: PriorityRank) -> f64 {
    demands.iter().filter(|demand| demand.rank == rank).map(RankDemand::calls).sum()
}

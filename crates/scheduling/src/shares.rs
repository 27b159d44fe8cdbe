//! Division of a service's capacity between ranks, and between the nodes that use it.
//!
//! Under overload, nodes without shares would fill the engines' queues in order of arrival, and the highest rank would wait
//! behind the lowest. Each node computes its own shares from the demand that all nodes report; the shares of all nodes add
//! up to the capacity if they are computed from the same reports.

use crate::PriorityRank;

/// Fraction of the capacity reserved for each rank with demand, so that low ranks make progress while higher ones demand
/// all of it.
const MIN_SHARE: f64 = 0.05;

/// Calls of one rank at a service, in flight and waiting.
#[derive(Debug, Clone, Copy, PartialEq)]
#[allow(missing_docs)]
pub struct RankDemand {
    pub rank: PriorityRank,
    /// Calls in flight at engines.
    pub running: f64,
    pub waiting: f64,
}

impl RankDemand {
    /// All calls, in flight and waiting.
    pub fn calls(&self) -> f64 {
        self.running + self.waiting
    }
}

/// Capacity of a service's engines, in calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceCapacity {
    /// Calls that the engines process concurrently.
    pub slots: f64,
    /// Calls that may queue at the engines beyond the slots, so that no engine idles until the next call reaches it.
    pub short_queue: f64,
    /// Calls in flight that no node has reported with a rank.
    pub unranked: f64,
}

impl ServiceCapacity {
    /// Maximum calls in flight for a rank and those above it. Ranks below the highest leave half of the short queue free,
    /// so that a call of the highest rank reaches an engine at once while lower ranks occupy all slots.
    fn limit(&self, is_highest: bool) -> f64 {
        let queue = if is_highest { self.short_queue } else { self.short_queue / 2.0 };
        (self.slots + queue - self.unranked).max(0.0)
    }
}

/// This node's share of a service's capacity for one rank.
#[derive(Debug, Clone, Copy, PartialEq)]
#[allow(missing_docs)]
pub struct RankShare {
    pub rank: PriorityRank,
    /// Calls that this node may have in flight.
    pub calls: f64,
    /// Calls that all nodes together may have in flight.
    pub fleet_calls: f64,
}

/// Computes this node's shares, from the highest rank to the lowest, from its own demand and that of its peers.
///
/// Higher ranks are served first; within a rank, nodes share in proportion to their demand.
pub fn allocate_shares(
    capacity: &ServiceCapacity,
    own: &[RankDemand],
    peers: &[RankDemand],
) -> Vec<RankShare> {
    let mut ranks: Vec<PriorityRank> = own.iter().chain(peers).map(|demand| demand.rank).collect();
    ranks.sort_unstable();
    ranks.dedup();
    let highest = ranks.first().copied();
    let mut allocated = 0.0;
    let mut shares = Vec::with_capacity(ranks.len());
    for rank in ranks {
        let limit = capacity.limit(Some(rank) == highest);
        let own_calls = calls_of(own, rank);
        let total_calls = own_calls + calls_of(peers, rank);
        let reserved = total_calls.min(limit * MIN_SHARE);
        let fleet_calls = total_calls.min(limit - allocated).max(reserved);
        allocated += fleet_calls;
        let fraction = if total_calls > 0.0 { own_calls / total_calls } else { 0.0 };
        shares.push(RankShare { rank, calls: fleet_calls * fraction, fleet_calls });
    }
    shares
}

fn calls_of(demands: &[RankDemand], rank: PriorityRank) -> f64 {
    demands.iter().filter(|demand| demand.rank == rank).map(RankDemand::calls).sum()
}

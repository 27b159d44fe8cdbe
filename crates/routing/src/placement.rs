//! What a call would cost at an engine: one plain function.

/// What is known of an engine as a place for a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementFacts {
    /// Calls of this node under way there.
    pub in_flight: usize,
    /// Whether it stands in the node's zone.
    pub is_in_zone: bool,
    /// Position in the order of preference for what the call is about; 0 is where its cache most likely is. `None`
    /// where the call has no preference.
    pub affinity_rank: Option<usize>,
    /// A number drawn for this choice, from 0 to 1, which breaks ties.
    pub tie: f64,
}

/// Cost of each call of this node under way at the engine.
const IN_FLIGHT_COST: f64 = 1.0;
/// Cost of leaving the zone.
const ZONE_COST: f64 = 1.5;
/// Cost of an engine that is not the preferred one, whose cache lacks the program's own part.
const AFFINITY_COST: f64 = 2.0;
/// Cost of each further place in the order of preference.
const RANK_COST: f64 = 0.05;
/// Weight of the tie breaker.
const TIE_COST: f64 = 0.4;

/// The cost of a call at an engine; the least is best. Its unit is one call under way.
pub fn placement_cost(facts: &PlacementFacts) -> f64 {
    let load = facts.in_flight as f64 * IN_FLIGHT_COST;
    let zone = if facts.is_in_zone { 0.0 } else { ZONE_COST };
    let affinity = match facts.affinity_rank {
        None => facts.tie * TIE_COST,
        Some(0) => 0.0,
        Some(rank) => AFFINITY_COST + rank as f64 * RANK_COST,
    };
    load + zone + affinity
}

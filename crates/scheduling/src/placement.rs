//! Choice among bids.

use sumacdrift_types::EngineName;

use crate::Bid;

/// What a configuration weighs; the two teams set these differently.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementWeights {
    /// Cost of a second until the call ends.
    pub latency: f64,
    /// Cost of a second that the engine spends on computing context again or will spend on evicted context.
    pub cache: f64,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self { latency: 1.0, cache: 0.5 }
    }
}

/// The bid that was taken, with its reason.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The bid.
    pub bid: Bid,
    /// Why, in words for an operator.
    pub reason: String,
}

/// Takes the bid of least cost. `prefill_tokens_per_second` turns tokens into seconds.
pub fn choose(bids: &[Bid], weights: &PlacementWeights, prefill_tokens_per_second: f64) -> Option<Placement> {
    let cost = |bid: &Bid| bid_cost(bid, weights, prefill_tokens_per_second);
    let best = bids.iter().min_by(|left, right| cost(left).total_cmp(&cost(right)))?;
    Some(Placement { bid: best.clone(), reason: describe(best, cost(best), bids.len()) })
}

fn bid_cost(bid: &Bid, weights: &PlacementWeights, prefill_tokens_per_second: f64) -> f64 {
    let wasted = bid.estimate.uncached_tokens + bid.estimate.evicted_tokens;
    let wasted_seconds = wasted as f64 / prefill_tokens_per_second.max(1.0);
    weights.latency * bid.estimate.finish_seconds + weights.cache * wasted_seconds
}

fn describe(bid: &Bid, cost: f64, bids: usize) -> String {
    format!(
        "engine {} of {bids} bids: cost {cost:.3}, first token {:.3} s, end {:.3} s, cached {} tokens, \
         to compute {}, to evict {}",
        bid.engine,
        bid.estimate.first_token_seconds,
        bid.estimate.finish_seconds,
        bid.cached_tokens,
        bid.estimate.uncached_tokens,
        bid.estimate.evicted_tokens,
    )
}

/// Picks the engines to ask: those where context may be, then a few at random.
///
/// Asking all would cost messages in proportion to the pool; asking two at random already avoids the worst
/// queues (Mitzenmacher, 2001).
pub fn sample_candidates(
    engines: &[EngineName],
    preferred: &[EngineName],
    random_count: usize,
    mut pick: impl FnMut(usize) -> usize,
) -> Vec<EngineName> {
    let mut candidates: Vec<EngineName> = Vec::with_capacity(preferred.len() + random_count);
    for engine in preferred {
        if engines.contains(engine) && !candidates.contains(engine) {
            candidates.push(engine.clone());
        }
    }
    let wanted = (candidates.len() + random_count).min(engines.len());
    let mut tries = 0;
    while candidates.len() < wanted && tries < engines.len() * 4 {
        let engine = &engines[pick(engines.len())];
        if !candidates.contains(engine) {
            candidates.push(engine.clone());
        }
        tries += 1;
    }
    candidates
}

//! Placement of a call: which engines to ask for bids, and which bid to take.

use sumacdrift_types::EngineName;

use crate::Bid;

/// Weights of the bid cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementWeights {
    /// Cost per second of the call's estimated time to completion.
    pub latency: f64,
    /// Cost per second of prefill for uncached tokens, and for tokens that the call would evict from the cache.
    pub cache: f64,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self { latency: 1.0, cache: 0.5 }
    }
}

/// The bid that was chosen.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct Placement {
    pub bid: Bid,
    /// Cost breakdown of the choice, for operators.
    pub reason: String,
}

/// Chooses the cheapest bid; `None` without bids. `prefill_tokens_per_second` converts tokens to seconds.
pub fn choose_bid(
    bids: &[Bid],
    weights: &PlacementWeights,
    prefill_tokens_per_second: f64,
) -> Option<Placement> {
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

/// Selects the engines to ask for bids: the preferred ones, then up to `random_count` others at random.
///
/// `pick` returns a random index below its argument. Asking every engine would cost messages in proportion to the
/// pool; two random choices already avoid the longest queues (Mitzenmacher, 2001).
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
    let target_count = (candidates.len() + random_count).min(engines.len());
    let mut attempts = 0;
    while candidates.len() < target_count && attempts < engines.len() * 4 {
        let engine = &engines[pick(engines.len())];
        if !candidates.contains(engine) {
            candidates.push(engine.clone());
        }
        attempts += 1;
    }
    candidates
}

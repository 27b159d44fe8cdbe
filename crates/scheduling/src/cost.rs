//! The cost model: one plain function from an engine's load and a call to an estimate.

use sumacdrift_types::{EngineName, TokenCount};

use crate::EngineRates;

/// Share of a step that decoding sequences take from prefill, at the most.
const MAX_DECODE_SHARE: f64 = 0.5;

/// What an engine has to do already.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineLoad {
    /// Calls sent to the engine and not ended.
    pub running: usize,
    /// Calls that the engine may run at a time.
    pub max_running: usize,
    /// Prompt tokens of running calls that are still to be computed, by estimate.
    pub pending_prefill_tokens: TokenCount,
    /// Calls that wait at the owner.
    pub queued: usize,
    /// Prompt tokens to be computed for calls that wait.
    pub queued_prefill_tokens: TokenCount,
    /// Context tokens of running calls.
    pub context_tokens: TokenCount,
    /// Tokens that the engine's cache memory holds.
    pub capacity_tokens: TokenCount,
}

/// What a call would meet at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Estimate {
    /// Seconds until the call is sent.
    pub queue_seconds: f64,
    /// Seconds until the first token.
    pub first_token_seconds: f64,
    /// Seconds until the end.
    pub finish_seconds: f64,
    /// Prompt tokens to be computed.
    pub uncached_tokens: TokenCount,
    /// Tokens of other programs' context that it would push out.
    pub evicted_tokens: TokenCount,
}

/// An owner's offer.
#[derive(Debug, Clone, PartialEq)]
pub struct Bid {
    /// The engine.
    pub engine: EngineName,
    /// What the call would meet.
    pub estimate: Estimate,
    /// Context tokens found in the cache.
    pub cached_tokens: TokenCount,
}

/// Estimates what a call of `prompt_tokens`, of which `cached_tokens` are held, meets at an engine.
pub fn estimate(
    rates: &EngineRates,
    load: &EngineLoad,
    prompt_tokens: TokenCount,
    cached_tokens: TokenCount,
    held_tokens: TokenCount,
) -> Estimate {
    let uncached_tokens = prompt_tokens.saturating_sub(cached_tokens);
    let queue_seconds = queue_seconds(rates, load);
    let decode_share = (load.running as f64 / load.max_running.max(1) as f64).min(1.0) * MAX_DECODE_SHARE;
    let prefill_rate = rates.prefill_tokens_per_second * (1.0 - decode_share);
    let prefill_tokens = load.pending_prefill_tokens + uncached_tokens;
    let step = rates.step(load.running + 1);
    let first_token_seconds = queue_seconds + prefill_tokens as f64 / prefill_rate + step;
    let output = rates.output_tokens;
    let needed = uncached_tokens + output as TokenCount;
    let free = load.capacity_tokens.saturating_sub(held_tokens.max(load.context_tokens));
    Estimate {
        queue_seconds,
        first_token_seconds,
        finish_seconds: first_token_seconds + step * output,
        uncached_tokens,
        evicted_tokens: needed.saturating_sub(free),
    }
}

fn queue_seconds(rates: &EngineRates, load: &EngineLoad) -> f64 {
    let is_full = load.running >= load.max_running;
    if !is_full && load.queued == 0 {
        return 0.0;
    }
    let call_seconds = rates.step(load.running) * rates.output_tokens;
    let departures_per_second = load.running.max(1) as f64 / call_seconds.max(f64::MIN_POSITIVE);
    let by_slots = (load.queued + 1) as f64 / departures_per_second;
    let by_prefill = load.queued_prefill_tokens as f64 / rates.prefill_tokens_per_second;
    by_slots.max(by_prefill)
}

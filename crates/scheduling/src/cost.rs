//! Cost model: estimates the latency of a call from an engine's load and learned rates.

use sumacdrift_types::{EngineName, TokenCount};

use crate::EngineRates;

/// Largest fraction of the prefill rate that is lost to decoding, reached when all slots are in use.
const MAX_DECODE_SHARE: f64 = 0.5;

/// Current load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineLoad {
    /// Calls sent to the engine that have not ended.
    pub running: usize,
    /// Maximum concurrent calls at the engine.
    pub max_running: usize,
    /// Estimated uncached prompt tokens of running calls.
    pub pending_prefill_tokens: TokenCount,
    /// Calls that wait in the owner's queue.
    pub queued: usize,
    /// Estimated uncached prompt tokens of waiting calls.
    pub queued_prefill_tokens: TokenCount,
    /// Prompt tokens of running calls, cached ones included.
    pub context_tokens: TokenCount,
    /// Tokens that fit in the engine's cache memory.
    pub capacity_tokens: TokenCount,
}

/// Expected latency and cache effects of a call at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Estimate {
    /// Seconds in the owner's queue.
    pub queue_seconds: f64,
    /// Seconds until the first token, queue time included.
    pub first_token_seconds: f64,
    /// Seconds until the last token, queue time included.
    pub finish_seconds: f64,
    /// Prompt tokens that have to be computed.
    pub uncached_tokens: TokenCount,
    /// Cached tokens that the call would evict.
    pub evicted_tokens: TokenCount,
}

/// An engine owner's offer to run a call.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct Bid {
    pub engine: EngineName,
    pub estimate: Estimate,
    /// Prompt tokens that the engine's cache is estimated to hold.
    pub cached_tokens: TokenCount,
}

/// Estimates a call of `prompt_tokens`, of which `cached_tokens` are cached, at an engine whose cache holds `held_tokens`.
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
    let step_seconds = rates.step_seconds(load.running + 1);
    let first_token_seconds = queue_seconds + prefill_tokens as f64 / prefill_rate + step_seconds;
    let output_tokens = rates.output_tokens;
    let needed_tokens = uncached_tokens + output_tokens as TokenCount;
    let free_tokens = load.capacity_tokens.saturating_sub(held_tokens.max(load.context_tokens));
    Estimate {
        queue_seconds,
        first_token_seconds,
        finish_seconds: first_token_seconds + step_seconds * output_tokens,
        uncached_tokens,
        evicted_tokens: needed_tokens.saturating_sub(free_tokens),
    }
}

fn queue_seconds(rates: &EngineRates, load: &EngineLoad) -> f64 {
    let is_full = load.running >= load.max_running;
    if !is_full && load.queued == 0 {
        return 0.0;
    }
    let call_seconds = rates.step_seconds(load.running) * rates.output_tokens;
    let departures_per_second = load.running.max(1) as f64 / call_seconds.max(f64::MIN_POSITIVE);
    let slot_wait_seconds = (load.queued + 1) as f64 / departures_per_second;
    let prefill_wait_seconds = load.queued_prefill_tokens as f64 / rates.prefill_tokens_per_second;
    slot_wait_seconds.max(prefill_wait_seconds)
}

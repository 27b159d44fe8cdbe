//! Parameters of an emulated engine. `docs/EMULATOR.md` names where the numbers come from.

use std::time::Duration;

use sumacdrift_types::TokenCount;

/// Parameters of an emulated engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSettings {
    /// Sequences in a batch at the most.
    pub max_batch: usize,
    /// Tokens of context that memory holds.
    pub capacity_tokens: TokenCount,
    /// Prompt tokens computed in one step at the most (chunked prefill).
    pub prefill_chunk_tokens: TokenCount,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_second: f64,
    /// Time of a step with no work, which weights being read from memory dominate.
    pub step_base: Duration,
    /// Time that each decoding sequence adds to a step.
    pub step_per_sequence: Duration,
    /// How much faster than the parameters say time runs; 1 is real time.
    pub speed: f64,
    /// How late cache events are published.
    pub event_delay: Duration,
    /// Share of cache events that are never published.
    pub event_loss: f64,
    /// How old load reports are.
    pub report_delay: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            max_batch: 64,
            capacity_tokens: 400_000,
            prefill_chunk_tokens: 512,
            prefill_tokens_per_second: 8_000.0,
            step_base: Duration::from_millis(12),
            step_per_sequence: Duration::from_micros(100),
            speed: 1.0,
            event_delay: Duration::from_millis(500),
            event_loss: 0.05,
            report_delay: Duration::from_secs(1),
        }
    }
}

impl EngineSettings {
    /// The same engine, running `speed` times as fast.
    pub fn at_speed(self, speed: f64) -> Self {
        Self {
            prefill_tokens_per_second: self.prefill_tokens_per_second * speed,
            step_base: self.step_base.div_f64(speed),
            step_per_sequence: self.step_per_sequence.div_f64(speed),
            speed,
            ..self
        }
    }
}

//! Parameters of an emulated engine. `docs/EMULATOR.md` gives the sources of the defaults.

use std::time::Duration;

use sumacdrift_types::TokenCount;

/// Capacity and timing of an emulated engine. Step times and prefill rate are already scaled by `speed`.
#[derive(Debug, Clone, Copy, PartialEq)]
#[allow(missing_docs)]
pub struct EngineSettings {
    /// Maximum sequences per batch.
    pub max_batch: usize,
    /// Cache memory in tokens.
    pub capacity_tokens: TokenCount,
    /// Maximum prompt tokens per step (chunked prefill).
    pub prefill_chunk_tokens: TokenCount,
    pub prefill_tokens_per_second: f64,
    /// Fixed time of a step, dominated by reading the weights from memory.
    pub step_base: Duration,
    /// Additional step time per decoding sequence.
    pub step_per_sequence: Duration,
    /// Factor by which the engine was sped up; 1 is real time. Also scales cache transfers.
    pub speed: f64,
    /// Delay of cache events; not scaled by `speed`.
    pub event_delay: Duration,
    /// Share of cache events that are lost, 0 to 1.
    pub event_loss: f64,
    /// Age of load reports; not scaled by `speed`.
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
    /// Returns the parameters of an engine `speed` times as fast.
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

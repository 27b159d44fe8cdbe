//! Processing rates of an engine, learned from its answers.

use std::time::Duration;

use sumacdrift_types::TokenCount;

/// Weight of a new sample in the moving averages.
const LEARNING_RATE: f64 = 0.05;
/// Bound on the ratio of a sample to the average, so that one stall doesn't distort it.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Processing rates of one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRates {
    /// Prefill rate of an otherwise idle engine.
    pub prefill_tokens_per_second: f64,
    /// Duration of a decoding step with one sequence.
    pub step_seconds: f64,
    /// Time that each further sequence adds to a step.
    pub step_seconds_per_sequence: f64,
    /// Average tokens generated per call.
    pub output_tokens: f64,
}

impl Default for EngineRates {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 8_000.0,
            step_seconds: 0.012,
            step_seconds_per_sequence: 0.000_1,
            output_tokens: 200.0,
        }
    }
}

/// Measurements of one finished call.
#[derive(Debug, Clone, Copy, PartialEq)]
#[allow(missing_docs)]
pub struct RateObservation {
    /// Prompt tokens that were not cached.
    pub uncached_tokens: TokenCount,
    /// Time from sending the request to the first token.
    pub time_to_first_token: Duration,
    /// Time from the first to the last token.
    pub decode_time: Duration,
    pub output_tokens: TokenCount,
    /// Sequences in the batch when the call ended, including its own.
    pub running: usize,
}

impl EngineRates {
    /// Duration of a decoding step with `running` sequences.
    pub fn step_seconds(&self, running: usize) -> f64 {
        self.step_seconds + self.step_seconds_per_sequence * running.saturating_sub(1) as f64
    }

    /// Updates the averages with a finished call.
    pub fn observe(&mut self, observation: &RateObservation) {
        self.output_tokens = update_average(self.output_tokens, observation.output_tokens as f64);
        if observation.output_tokens > 1 {
            let step_seconds = observation.decode_time.as_secs_f64() / (observation.output_tokens - 1) as f64;
            let other_sequences_seconds =
                self.step_seconds_per_sequence * observation.running.saturating_sub(1) as f64;
            self.step_seconds = update_average(
                self.step_seconds,
                (step_seconds - other_sequences_seconds).max(self.step_seconds / MAX_SAMPLE_RATIO),
            );
        }
        let prefill_seconds =
            observation.time_to_first_token.as_secs_f64() - self.step_seconds(observation.running);
        if observation.uncached_tokens >= MIN_PREFILL_SAMPLE_TOKENS && prefill_seconds > 0.0 {
            let rate = observation.uncached_tokens as f64 / prefill_seconds;
            self.prefill_tokens_per_second = update_average(self.prefill_tokens_per_second, rate);
        }
    }
}

/// Shorter prefills say little about the rate.
const MIN_PREFILL_SAMPLE_TOKENS: TokenCount = 256;

fn update_average(average: f64, sample: f64) -> f64 {
    let bounded = sample.clamp(average / MAX_SAMPLE_RATIO, average * MAX_SAMPLE_RATIO);
    average + LEARNING_RATE * (bounded - average)
}

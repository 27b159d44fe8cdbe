//! Speeds of a service's engines, learned from past answers.

use crate::estimate::Speeds;
use crate::line_fit::{FitBounds, LineFit};
use crate::slowness::Noise;

/// Priors, of the right order of magnitude for current models; replaced within a few dozen answers.
const PRIOR_READ_MILLIS_PER_TOKEN: f64 = 0.01;
const PRIOR_FIRST_MILLIS: f64 = 20.0;
const PRIOR_EVENT_MILLIS: f64 = 10.0;
const PRIOR_EVENT_MILLIS_PER_CALL: f64 = 0.2;
const PRIOR_EVENTS: f64 = 10.0;
/// Typical tokens to prefill and calls in flight, which set the scale of the priors.
const TOKENS_SCALE: f64 = 10_000.0;
const CALLS_SCALE: f64 = 16.0;
/// Bounds of learned values, in milliseconds.
const READ_BOUNDS: FitBounds = FitBounds { slope: (0.000_5, 1.0), intercept: (0.0, 2_000.0) };
const EVENT_BOUNDS: FitBounds = FitBounds { slope: (0.0, 50.0), intercept: (0.05, 2_000.0) };
/// Weight of a new observation of the number of events.
const EVENTS_LEARNING_RATE: f64 = 0.02;
/// Answers that took more than this many times the expected time are not used to learn speeds: they indicate a fault.
const MAX_SLOWNESS_TO_LEARN: f64 = 6.0;

/// Observation of one streamed answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamObservation {
    /// From sending the call to the first event.
    pub first_millis: f64,
    /// From the first event to the last.
    pub rest_millis: f64,
    /// Number of events in the answer.
    pub events: u64,
    /// Estimated tokens to prefill before the first event, including those of other calls.
    pub tokens_ahead: f64,
    /// Estimated calls in flight at the engine.
    pub running: f64,
}

/// Learned speeds of a service's typical engine.
#[derive(Debug, Clone)]
pub struct LearnedSpeeds {
    read: LineFit,
    event: LineFit,
    events: f64,
    pub(crate) noise: Noise,
}

impl Default for LearnedSpeeds {
    fn default() -> Self {
        let read =
            LineFit::with_prior(PRIOR_FIRST_MILLIS, PRIOR_READ_MILLIS_PER_TOKEN, TOKENS_SCALE, READ_BOUNDS);
        let event =
            LineFit::with_prior(PRIOR_EVENT_MILLIS, PRIOR_EVENT_MILLIS_PER_CALL, CALLS_SCALE, EVENT_BOUNDS);
        Self { read, event, events: PRIOR_EVENTS, noise: Noise::default() }
    }
}

impl LearnedSpeeds {
    /// Learns from an answer that succeeded; returns the ratio of its time to the expected time.
    pub fn observe(&mut self, seen: &StreamObservation) -> f64 {
        let gaps = seen.events.saturating_sub(1) as f64;
        let expected_first = self.read.at(seen.tokens_ahead);
        let expected_rest = self.event.at(seen.running) * gaps;
        let slowness = (seen.first_millis + seen.rest_millis) / (expected_first + expected_rest).max(1.0);
        if slowness <= MAX_SLOWNESS_TO_LEARN {
            self.read.observe(seen.tokens_ahead, seen.first_millis);
            if gaps > 0.0 {
                self.event.observe(seen.running, seen.rest_millis / gaps);
            }
        }
        self.events += EVENTS_LEARNING_RATE * (seen.events as f64 - self.events);
        slowness
    }

    /// Current estimate, for [`crate::estimate()`].
    pub fn speeds(&self) -> Speeds {
        Speeds {
            read_millis_per_token: self.read.slope(),
            first_millis: self.read.intercept(),
            event_millis: self.event.intercept(),
            event_millis_per_call: self.event.slope(),
        }
    }

    /// Mean number of events in an answer.
    pub fn events(&self) -> f64 {
        self.events
    }
}

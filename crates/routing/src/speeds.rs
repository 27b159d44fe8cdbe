//! How fast the engines of a service are, learned from the answers seen.

use crate::estimate::Speeds;
use crate::line_fit::{FitBounds, LineFit};
use crate::slowness::Noise;

/// Starting beliefs, right within a factor of a few for today's models; a few dozen answers replace them.
const STARTING_READ_MILLIS_PER_TOKEN: f64 = 0.01;
const STARTING_FIRST_MILLIS: f64 = 20.0;
const STARTING_EVENT_MILLIS: f64 = 10.0;
const STARTING_EVENT_MILLIS_PER_CALL: f64 = 0.2;
const STARTING_EVENTS: f64 = 10.0;
/// What answers are usually seen with: so many tokens to read, so many calls under way.
const TOKENS_SCALE: f64 = 10_000.0;
const CALLS_SCALE: f64 = 16.0;
/// Bounds of what may be learned.
const READ_BOUNDS: FitBounds = FitBounds { slope: (0.000_5, 1.0), intercept: (0.0, 2_000.0) };
const EVENT_BOUNDS: FitBounds = FitBounds { slope: (0.0, 50.0), intercept: (0.05, 2_000.0) };
/// Weight of a new observation of how many events an answer has.
const EVENTS_LEARNING_RATE: f64 = 0.02;
/// How many times longer than expected an answer may take to teach anything of the service: what took still longer
/// shows trouble, not speed.
const LONGEST_TEACHING: f64 = 6.0;

/// What an answer showed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamSeen {
    /// Milliseconds from the sending to the first event.
    pub first_millis: f64,
    /// Milliseconds between the first event and the last.
    pub rest_millis: f64,
    /// Events of the answer.
    pub events: u64,
    /// Prompt tokens that the engine was believed to read before the first event, of other calls too.
    pub tokens_ahead: f64,
    /// Calls believed to be under way there.
    pub running: f64,
}

/// Speeds of the engines of one service, an engine of usual speed.
#[derive(Debug, Clone)]
pub struct LearnedSpeeds {
    read: LineFit,
    event: LineFit,
    events: f64,
    pub(crate) noise: Noise,
}

impl Default for LearnedSpeeds {
    fn default() -> Self {
        let read = LineFit::starting(
            STARTING_FIRST_MILLIS,
            STARTING_READ_MILLIS_PER_TOKEN,
            TOKENS_SCALE,
            READ_BOUNDS,
        );
        let event = LineFit::starting(
            STARTING_EVENT_MILLIS,
            STARTING_EVENT_MILLIS_PER_CALL,
            CALLS_SCALE,
            EVENT_BOUNDS,
        );
        Self { read, event, events: STARTING_EVENTS, noise: Noise::default() }
    }
}

impl LearnedSpeeds {
    /// Learns from an answer that ended well. Returns how many times longer than expected it took.
    pub fn observe(&mut self, seen: &StreamSeen) -> f64 {
        let gaps = seen.events.saturating_sub(1) as f64;
        let expected_first = self.read.at(seen.tokens_ahead);
        let expected_rest = self.event.at(seen.running) * gaps;
        let slowness = (seen.first_millis + seen.rest_millis) / (expected_first + expected_rest).max(1.0);
        if slowness <= LONGEST_TEACHING {
            self.read.observe(seen.tokens_ahead, seen.first_millis);
            if gaps > 0.0 {
                self.event.observe(seen.running, seen.rest_millis / gaps);
            }
        }
        self.events += EVENTS_LEARNING_RATE * (seen.events as f64 - self.events);
        slowness
    }

    /// Speeds for an estimate.
    pub fn speeds(&self) -> Speeds {
        Speeds {
            read_millis_per_token: self.read.slope(),
            first_millis: self.read.intercept(),
            event_millis: self.event.intercept(),
            event_millis_per_call: self.event.slope(),
        }
    }

    /// Events that an answer has.
    pub fn events(&self) -> f64 {
        self.events
    }
}

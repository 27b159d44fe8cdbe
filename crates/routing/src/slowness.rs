//! How many times longer than usual for its service an engine takes: a Kalman filter of one number.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Bounds of an engine's slowness.
const LEAST: f64 = 0.3;
const LARGEST: f64 = 10.0;
/// Variance of slowness between engines of a service, before anything was seen of one.
const SPREAD_BETWEEN_ENGINES: f64 = 0.03;
/// Growth of the variance in a second: engines become slow and recover.
const DRIFT_A_SECOND: f64 = 0.003;
/// Time after which half of what an engine's slowness differs from the usual is forgotten, so that an engine that
/// was slow is tried again.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// A difference so many times the expected one is no chance: the engine has changed.
const SURPRISE: f64 = 3.0;
/// A difference from the usual that decides nothing: a fifth of the share by which estimates are drawn apart at random.
const USUAL_WITHIN: f64 = 0.01;
/// Share of a surprise that is believed at once.
const SURPRISE_GAIN: f64 = 0.3;

/// An engine's slowness, as far as is known.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slowness {
    value: f64,
    variance: f64,
    at: Timestamp,
}

impl Slowness {
    /// As fast as is usual.
    pub(crate) fn usual(now: Timestamp) -> Self {
        Self { value: 1.0, variance: SPREAD_BETWEEN_ENGINES, at: now }
    }

    /// The slowness by now.
    pub(crate) fn now(&self, now: Timestamp) -> f64 {
        if self.value == 1.0 {
            return 1.0;
        }
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (self.value - 1.0) * (-halvings).exp2()
    }

    /// Whether it is as good as usual: it differs by less than estimates are drawn apart at random.
    pub(crate) fn is_usual(&self, now: Timestamp) -> bool {
        (self.now(now) - 1.0).abs() < USUAL_WITHIN
    }

    /// A call took so many times longer than usual, among ones whose variance is `noise`.
    pub(crate) fn observe(&mut self, seen: f64, noise: f64, now: Timestamp) {
        let seen = seen.clamp(LEAST, LARGEST);
        let known = self.now(now);
        let grown = self.variance + DRIFT_A_SECOND * now.since(self.at).as_secs_f64();
        let variance = grown.min(SPREAD_BETWEEN_ENGINES);
        let expected_square = variance + noise;
        let gain = variance / expected_square;
        let difference = seen - known;
        let is_surprise = difference * difference > SURPRISE * SURPRISE * expected_square;
        let gain = if is_surprise { gain.max(SURPRISE_GAIN) } else { gain };
        *self = Self { value: known + gain * difference, variance: variance * (1.0 - gain), at: now };
    }
}

/// How much calls of one kind differ from one to the next, as a share of the usual time: the variance of that share.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Noise(f64);

/// Weight of a new observation.
const NOISE_LEARNING_RATE: f64 = 0.02;
/// The belief before anything was seen, and the bounds.
const STARTING_NOISE: f64 = 0.3;
const LEAST_NOISE: f64 = 0.005;
const LARGEST_NOISE: f64 = 4.0;

impl Default for Noise {
    fn default() -> Self {
        Self(STARTING_NOISE)
    }
}

impl Noise {
    /// A call took `seen` times as long as usual at an engine that takes `slowness` times as long.
    pub(crate) fn observe(&mut self, seen: f64, slowness: f64) {
        let square = (seen - slowness).powi(2).min(LARGEST_NOISE);
        self.0 += NOISE_LEARNING_RATE * (square - self.0);
    }

    pub(crate) fn variance(self) -> f64 {
        self.0.max(LEAST_NOISE)
    }
}

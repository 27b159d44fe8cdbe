//! Slowness of an engine relative to its service's usual time: a scalar Kalman filter.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Bounds of an observed slowness.
const MIN_SLOWNESS: f64 = 0.3;
const MAX_SLOWNESS: f64 = 10.0;
/// Variance of slowness between engines of a service, used before the first observation and as an upper bound.
const INITIAL_VARIANCE: f64 = 0.03;
/// Growth of the variance: engines become slow and recover.
const VARIANCE_GROWTH_PER_SECOND: f64 = 0.003;
/// Half-life of the deviation from 1, so that an engine that was slow is tried again.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// A deviation of so many standard deviations means that the engine has changed.
const OUTLIER_DEVIATIONS: f64 = 3.0;
/// Deviation too small to matter: a fifth of the jitter of estimates.
const NOMINAL_TOLERANCE: f64 = 0.01;
/// Minimum gain of such an observation.
const MIN_OUTLIER_GAIN: f64 = 0.3;

/// Estimate of an engine's slowness.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slowness {
    value: f64,
    variance: f64,
    at: Timestamp,
}

impl Slowness {
    /// The estimate before any observation.
    pub(crate) fn nominal(now: Timestamp) -> Self {
        Self { value: 1.0, variance: INITIAL_VARIANCE, at: now }
    }

    /// The estimate at `now`: 1.0 is usual, 2.0 takes twice as long.
    pub(crate) fn value_at(&self, now: Timestamp) -> f64 {
        if self.value == 1.0 {
            return 1.0;
        }
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (self.value - 1.0) * (-halvings).exp2()
    }

    /// Whether the deviation from 1 is below the jitter of estimates.
    pub(crate) fn is_nominal(&self, now: Timestamp) -> bool {
        (self.value_at(now) - 1.0).abs() < NOMINAL_TOLERANCE
    }

    /// Updates the estimate from one call; `noise` is the variance from call to call.
    pub(crate) fn observe(&mut self, seen: f64, noise: f64, now: Timestamp) {
        let seen = seen.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        let estimate = self.value_at(now);
        let predicted = self.variance + VARIANCE_GROWTH_PER_SECOND * now.since(self.at).as_secs_f64();
        let variance = predicted.min(INITIAL_VARIANCE);
        let expected_square = variance + noise;
        let gain = variance / expected_square;
        let difference = seen - estimate;
        let is_outlier = difference * difference > OUTLIER_DEVIATIONS * OUTLIER_DEVIATIONS * expected_square;
        let gain = if is_outlier { gain.max(MIN_OUTLIER_GAIN) } else { gain };
        *self = Self { value: estimate + gain * difference, variance: variance * (1.0 - gain), at: now };
    }
}

/// Variance from call to call of the time taken, relative to the usual time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Noise(f64);

/// Weight of a new observation.
const NOISE_LEARNING_RATE: f64 = 0.02;
/// Initial value and bounds.
const INITIAL_NOISE: f64 = 0.3;
const MIN_NOISE: f64 = 0.005;
const MAX_NOISE: f64 = 4.0;

impl Default for Noise {
    fn default() -> Self {
        Self(INITIAL_NOISE)
    }
}

impl Noise {
    /// Updates the variance from a call that took `seen` times the usual time at an engine of the given slowness.
    pub(crate) fn observe(&mut self, seen: f64, slowness: f64) {
        let square = (seen - slowness).powi(2).min(MAX_NOISE);
        self.0 += NOISE_LEARNING_RATE * (square - self.0);
    }

    pub(crate) fn variance(self) -> f64 {
        self.0.max(MIN_NOISE)
    }
}

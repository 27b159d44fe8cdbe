//! Online linear regression with exponential forgetting: learns a rate and a constant together.

/// Weight factor of old observations with each new one.
const DECAY_FACTOR: f64 = 0.995;
/// Weight of the prior, which decays with each observation.
const PRIOR_WEIGHT: f64 = 10.0;
/// Weight of the prior slope that never decays, for periods in which `x` hardly varies.
const PERMANENT_PRIOR_WEIGHT: f64 = 0.1;

/// Allowed ranges of the slope and the intercept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FitBounds {
    /// Minimum and maximum.
    pub slope: (f64, f64),
    /// Minimum and maximum.
    pub intercept: (f64, f64),
}

/// The line `y = intercept + slope * x`, fitted by weighted least squares.
#[derive(Debug, Clone, Copy)]
pub struct LineFit {
    bounds: FitBounds,
    prior_slope: f64,
    prior_sum_squares: f64,
    weight: f64,
    mean_x: f64,
    mean_y: f64,
    sum_squares_x: f64,
    sum_products_xy: f64,
}

impl LineFit {
    /// Starts from a prior line over `0..=scale`.
    pub fn with_prior(intercept: f64, slope: f64, scale: f64, bounds: FitBounds) -> Self {
        let middle = scale / 2.0;
        let sum_squares_x = PRIOR_WEIGHT * middle * middle;
        Self {
            bounds,
            prior_slope: slope,
            prior_sum_squares: PERMANENT_PRIOR_WEIGHT * middle * middle,
            weight: PRIOR_WEIGHT,
            mean_x: middle,
            mean_y: intercept + slope * middle,
            sum_squares_x,
            sum_products_xy: sum_squares_x * slope,
        }
    }

    /// Adds an observation and reduces the weight of earlier ones.
    pub fn observe(&mut self, x: f64, y: f64) {
        self.weight = self.weight * DECAY_FACTOR + 1.0;
        let (off_x, off_y) = (x - self.mean_x, y - self.mean_y);
        self.mean_x += off_x / self.weight;
        self.mean_y += off_y / self.weight;
        self.sum_squares_x = self.sum_squares_x * DECAY_FACTOR + off_x * (x - self.mean_x);
        self.sum_products_xy = self.sum_products_xy * DECAY_FACTOR + off_x * (y - self.mean_y);
    }

    /// Clamped to its bounds.
    pub fn slope(&self) -> f64 {
        let (lower, upper) = self.bounds.slope;
        let combined = self.sum_products_xy + self.prior_sum_squares * self.prior_slope;
        (combined / (self.sum_squares_x + self.prior_sum_squares)).clamp(lower, upper)
    }

    /// Clamped to its bounds.
    pub fn intercept(&self) -> f64 {
        let (lower, upper) = self.bounds.intercept;
        (self.mean_y - self.slope() * self.mean_x).clamp(lower, upper)
    }

    /// The fitted value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept() + self.slope() * x
    }
}

//! A straight line through noisy observations, the newer ones counting more: learns a rate and a fixed part together.

/// Share of its weight that an old observation keeps with each new one.
const KEPT: f64 = 0.995;
/// Weight of the starting belief, which fades with each observation.
const STARTING_WEIGHT: f64 = 10.0;
/// Weight that the starting slope keeps for good, for times in which `x` hardly varies.
const LASTING_WEIGHT: f64 = 0.1;

/// Values that a slope and an intercept may have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FitBounds {
    /// Least and largest slope.
    pub slope: (f64, f64),
    /// Least and largest intercept.
    pub intercept: (f64, f64),
}

/// The line `y = intercept + slope * x`, fitted by weighted least squares.
#[derive(Debug, Clone, Copy)]
pub struct LineFit {
    bounds: FitBounds,
    starting_slope: f64,
    lasting_spread: f64,
    weight: f64,
    mean_x: f64,
    mean_y: f64,
    spread_x: f64,
    spread_xy: f64,
}

impl LineFit {
    /// A fit that starts from a belief about the values around `0..=scale`.
    pub fn starting(intercept: f64, slope: f64, scale: f64, bounds: FitBounds) -> Self {
        let middle = scale / 2.0;
        let spread_x = STARTING_WEIGHT * middle * middle;
        Self {
            bounds,
            starting_slope: slope,
            lasting_spread: LASTING_WEIGHT * middle * middle,
            weight: STARTING_WEIGHT,
            mean_x: middle,
            mean_y: intercept + slope * middle,
            spread_x,
            spread_xy: spread_x * slope,
        }
    }

    /// Takes an observation in.
    pub fn observe(&mut self, x: f64, y: f64) {
        self.weight = self.weight * KEPT + 1.0;
        let (off_x, off_y) = (x - self.mean_x, y - self.mean_y);
        self.mean_x += off_x / self.weight;
        self.mean_y += off_y / self.weight;
        self.spread_x = self.spread_x * KEPT + off_x * (x - self.mean_x);
        self.spread_xy = self.spread_xy * KEPT + off_x * (y - self.mean_y);
    }

    /// What one more of `x` adds.
    pub fn slope(&self) -> f64 {
        let (least, largest) = self.bounds.slope;
        let together = self.spread_xy + self.lasting_spread * self.starting_slope;
        (together / (self.spread_x + self.lasting_spread)).clamp(least, largest)
    }

    /// The value at zero.
    pub fn intercept(&self) -> f64 {
        let (least, largest) = self.bounds.intercept;
        (self.mean_y - self.slope() * self.mean_x).clamp(least, largest)
    }

    /// The value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept() + self.slope() * x
    }
}

//! Typical call duration by route.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new observation in the moving average.
const LEARNING_RATE: f64 = 0.05;

/// Exponentially weighted moving averages, by route.
#[derive(Debug, Default)]
pub(crate) struct RouteDurations {
    average_seconds: HashMap<Arc<str>, f64>,
}

impl RouteDurations {
    /// Records the duration of a successful call.
    pub(crate) fn observe(&mut self, route: &Arc<str>, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let average = self.average_seconds.entry(Arc::clone(route)).or_insert(elapsed);
        *average += LEARNING_RATE * (elapsed - *average);
    }

    /// `None` if no call of the route has been observed.
    pub(crate) fn average(&self, route: &str) -> Option<Duration> {
        self.average_seconds.get(route).map(|seconds| Duration::from_secs_f64(seconds.max(0.0)))
    }
}

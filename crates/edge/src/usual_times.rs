//! How long turns of each route usually take.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new observation.
const LEARNING_RATE: f64 = 0.05;

/// Moving averages, by route.
#[derive(Debug, Default)]
pub(crate) struct UsualTimes {
    seconds: HashMap<Arc<str>, f64>,
}

impl UsualTimes {
    /// A turn of the route ended well after this time.
    pub(crate) fn observe(&mut self, route: &Arc<str>, taken: Duration) {
        let taken = taken.as_secs_f64();
        let average = self.seconds.entry(Arc::clone(route)).or_insert(taken);
        *average += LEARNING_RATE * (taken - *average);
    }

    /// The usual time of the route's turns.
    pub(crate) fn of(&self, route: &str) -> Option<Duration> {
        self.seconds.get(route).map(|seconds| Duration::from_secs_f64(seconds.max(0.0)))
    }
}

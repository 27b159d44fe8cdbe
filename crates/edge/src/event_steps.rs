//! How the ids of each service's streams rise.

use std::collections::HashMap;
use std::sync::Arc;

use sumacdrift_calls::{EventSteps, StepHistory};

/// Step histories, by service.
#[derive(Debug, Default)]
pub(crate) struct ServiceEventSteps {
    histories: HashMap<Arc<str>, StepHistory>,
}

impl ServiceEventSteps {
    /// Records the steps of a complete stream.
    pub(crate) fn record(&mut self, service: &Arc<str>, steps: EventSteps) {
        self.histories.entry(Arc::clone(service)).or_default().record(steps);
    }

    /// The step that a service's streams usually have; `None` if it isn't known.
    pub(crate) fn usual_step(&self, service: &str) -> Option<u128> {
        self.histories.get(service).and_then(StepHistory::usual_step)
    }
}

//! The report of a run. It contains no wall-clock time, so a seed gives the same bytes on any machine.

use serde::Serialize;
use sumacdrift_guarantees::GuaranteeResult;

/// Result of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[allow(missing_docs)]
pub struct SimulationReport {
    pub seed: u64,
    /// Injected faults, in order.
    pub faults: Vec<String>,
    pub programs: usize,
    /// Callers, of programs and of services, that were not done at the end of the run.
    pub unfinished: usize,
    /// Answered turns and service calls.
    pub turns: u64,
    /// Longest time without a serving leader.
    pub longest_without_leader_micros: u64,
    /// Final state of each node's replica, as text.
    pub replicas: Vec<String>,
    /// Number of processed events.
    pub events: u64,
    pub guarantees: Vec<GuaranteeResult>,
    /// Digest of all processed events, in order.
    pub trace_hash: String,
}

impl SimulationReport {
    /// Whether no guarantee was violated and every caller finished.
    pub fn is_clean(&self) -> bool {
        self.unfinished == 0 && self.guarantees.iter().all(|guarantee| guarantee.violated == 0)
    }

    /// Names of the violated guarantees.
    pub fn violated(&self) -> Vec<&str> {
        let violated = self.guarantees.iter().filter(|guarantee| guarantee.violated > 0);
        violated.map(|guarantee| guarantee.name.as_str()).collect()
    }
}

//! The report of a run. It holds no wall-clock time, so the same seed gives the same bytes on any machine.

use serde::Serialize;
use sumacdrift_guarantees::GuaranteeResult;

/// What a run showed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SimulationReport {
    /// Seed.
    pub seed: u64,
    /// Faults that took place, in order.
    pub faults: Vec<String>,
    /// Programs started.
    pub programs: usize,
    /// Programs and service calls that did not come to their end although all faults were over.
    pub unfinished: usize,
    /// Turns answered.
    pub turns: u64,
    /// Longest time, in microseconds, for which no leader could answer, by shard group.
    pub longest_without_leader_micros: u64,
    /// The replicas as they stood at the end, in words.
    pub replicas: Vec<String>,
    /// Events processed.
    pub events: u64,
    /// The guarantees.
    pub guarantees: Vec<GuaranteeResult>,
    /// Digest over all events in order.
    pub trace_hash: String,
}

impl SimulationReport {
    /// Whether nothing was violated and everything came to its end.
    pub fn is_clean(&self) -> bool {
        self.unfinished == 0 && self.guarantees.iter().all(|guarantee| guarantee.violated == 0)
    }

    /// The violated guarantees' names.
    pub fn violated(&self) -> Vec<&str> {
        let violated = self.guarantees.iter().filter(|guarantee| guarantee.violated > 0);
        violated.map(|guarantee| guarantee.name.as_str()).collect()
    }
}

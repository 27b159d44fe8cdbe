//! Reports as JSON and as a table.

use std::collections::BTreeMap;

use serde::Serialize;
use sumacdrift_guarantees::GuaranteeResult;

use crate::statistics::Percentiles;

/// What a demo run showed.
#[derive(Debug, Clone, Serialize)]
pub struct DemoReport {
    /// Nodes.
    pub nodes: usize,
    /// Seed of the programs.
    pub seed: u64,
    /// Programs started.
    pub programs_started: usize,
    /// Programs that came to their regular end.
    pub programs_done: usize,
    /// Programs given up after too many refusals.
    pub programs_failed: usize,
    /// Turns answered.
    pub turns: u64,
    /// Answers given again from the history or the ledger.
    pub replays: u64,
    /// From a program's first request to its last answer.
    pub program_latency_seconds: Percentiles,
    /// From a turn's request to its first token.
    pub first_token_seconds: Percentiles,
    /// Share of prompt tokens that were computed again though some engine had held them.
    pub wasted_cache_fraction: f64,
    /// Refusals by result code.
    pub refusals: BTreeMap<u32, u64>,
    /// Time until a new configuration was in force on every node, in seconds.
    pub configuration_in_force_seconds: f64,
    /// The ten guarantees.
    pub guarantees: Vec<GuaranteeResult>,
}

impl DemoReport {
    /// Whether every guarantee was checked and none violated.
    pub fn is_clean(&self) -> bool {
        self.guarantees.iter().all(|guarantee| guarantee.checked > 0 && guarantee.violated == 0)
    }

    /// The report as a table for a person.
    pub fn table(&self) -> String {
        let latency = self.program_latency_seconds;
        let first = self.first_token_seconds;
        let mut table = format!(
            "nodes {}  seed {}\n\
             programs: {} started, {} done, {} given up; {} turns, {} replays\n\
             program latency: p50 {:.3} s  p95 {:.3} s  p99 {:.3} s\n\
             first token:     p50 {:.3} s  p95 {:.3} s  p99 {:.3} s\n\
             wasted cache: {:.2} % of prompt tokens\n\
             new configuration in force everywhere after {:.3} s\n\
             refusals by code: {:?}\n\n{:<44} {:>9} {:>9}\n",
            self.nodes,
            self.seed,
            self.programs_started,
            self.programs_done,
            self.programs_failed,
            self.turns,
            self.replays,
            latency.p50,
            latency.p95,
            latency.p99,
            first.p50,
            first.p95,
            first.p99,
            self.wasted_cache_fraction * 100.0,
            self.configuration_in_force_seconds,
            self.refusals,
            "guarantee",
            "checked",
            "violated",
        );
        for guarantee in &self.guarantees {
            table.push_str(&format!(
                "{:<44} {:>9} {:>9}\n",
                guarantee.name, guarantee.checked, guarantee.violated
            ));
            for example in &guarantee.examples {
                table.push_str(&format!("    {example}\n"));
            }
        }
        table
    }
}

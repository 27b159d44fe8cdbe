//! The report of the demo.

use std::collections::BTreeMap;

use serde::Serialize;
use sumacdrift_guarantees::GuaranteeResult;

use crate::statistics::Percentiles;

/// Result of a demo run.
#[derive(Debug, Clone, Serialize)]
#[allow(missing_docs)]
pub struct DemoReport {
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of the programs.
    pub seed: u64,
    pub programs_started: usize,
    /// Programs that ran all their turns or exhausted their budget.
    pub programs_done: usize,
    /// Programs that were given up.
    pub programs_failed: usize,
    /// Answered turns.
    pub turns: u64,
    /// Answers replayed from the history or the ledger.
    pub replays: u64,
    /// From the start of a program to its end.
    pub program_latency_seconds: Percentiles,
    /// From a turn's request to its first token.
    pub first_token_seconds: Percentiles,
    /// Share of prompt tokens that were recomputed although some engine had held them.
    pub wasted_cache_fraction: f64,
    /// Rejections by result code.
    pub refusals: BTreeMap<u32, u64>,
    /// Time until a new configuration had reached every node.
    pub configuration_in_force_seconds: f64,
    pub guarantees: Vec<GuaranteeResult>,
}

impl DemoReport {
    /// Whether every guarantee was checked and none violated.
    pub fn is_clean(&self) -> bool {
        self.guarantees.iter().all(|guarantee| guarantee.checked > 0 && guarantee.violated == 0)
    }

    /// Formats the report as a table.
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

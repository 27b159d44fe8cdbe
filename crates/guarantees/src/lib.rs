//! The guarantees that the simulation and the demo check, by name, and counters of the checks.

use std::collections::BTreeMap;

use serde::Serialize;

/// Described violations per guarantee.
const MAX_EXAMPLES: usize = 3;

/// A guarantee to callers and operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// The calls of a program are served in order.
    CallsInOrder,
    /// A program's history is never lost or mixed with another program's.
    HistoryPreserved,
    /// A program never exceeds its budget.
    BudgetEnforced,
    /// Engines hold no memory for ended programs.
    EngineMemoryFreed,
    /// Each caller gets the complete answer to its own request.
    CompleteAnswers,
    /// A call that is reported as not run has not run.
    NotRunIsAccurate,
    /// A non-repeatable request runs at most once.
    AtMostOnce,
    /// A leaving back end gets no new calls after a few seconds.
    NoCallsToLeavingEngines,
    /// A planned stop interrupts no request.
    PlannedStopFinishesCalls,
    /// An accepted configuration reaches every node within seconds and is never reverted.
    ConfigurationApplied,
}

impl Guarantee {
    /// Every guarantee, in the order of reports.
    pub const ALL: [Guarantee; 10] = [
        Guarantee::CallsInOrder,
        Guarantee::HistoryPreserved,
        Guarantee::BudgetEnforced,
        Guarantee::EngineMemoryFreed,
        Guarantee::CompleteAnswers,
        Guarantee::NotRunIsAccurate,
        Guarantee::AtMostOnce,
        Guarantee::NoCallsToLeavingEngines,
        Guarantee::PlannedStopFinishesCalls,
        Guarantee::ConfigurationApplied,
    ];

    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Guarantee::CallsInOrder => "calls_in_order",
            Guarantee::HistoryPreserved => "history_never_lost_or_mixed",
            Guarantee::BudgetEnforced => "budget_holds",
            Guarantee::EngineMemoryFreed => "no_engine_memory_for_gone_programs",
            Guarantee::CompleteAnswers => "whole_answer_to_own_request",
            Guarantee::NotRunIsAccurate => "not_run_is_true",
            Guarantee::AtMostOnce => "unrepeatable_runs_at_most_once",
            Guarantee::NoCallsToLeavingEngines => "leaving_back_end_gets_no_new_work",
            Guarantee::PlannedStopFinishesCalls => "planned_stop_cuts_nothing",
            Guarantee::ConfigurationApplied => "configuration_in_force_and_never_reverts",
        }
    }
}

/// Counts of one guarantee in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[allow(missing_docs)]
pub struct GuaranteeResult {
    pub name: String,
    pub checked: u64,
    pub violated: u64,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
}

#[derive(Debug, Default, Clone)]
struct Tally {
    checked: u64,
    violated: u64,
    examples: Vec<String>,
}

/// Counters of checks and violations, by guarantee.
#[derive(Debug, Default, Clone)]
pub struct Tallies {
    by_guarantee: BTreeMap<Guarantee, Tally>,
}

impl Tallies {
    /// Counts a check. `describe` is called only for the first violations of a guarantee.
    pub fn check(&mut self, guarantee: Guarantee, holds: bool, describe: impl FnOnce() -> String) {
        let tally = self.by_guarantee.entry(guarantee).or_default();
        tally.checked += 1;
        if holds {
            return;
        }
        tally.violated += 1;
        if tally.examples.len() < MAX_EXAMPLES {
            tally.examples.push(describe());
        }
    }

    /// The counts of all guarantees, in the order of [`Guarantee::ALL`].
    pub fn results(&self) -> Vec<GuaranteeResult> {
        let result = |guarantee: Guarantee| {
            let tally = self.by_guarantee.get(&guarantee).cloned().unwrap_or_default();
            GuaranteeResult {
                name: guarantee.name().to_owned(),
                checked: tally.checked,
                violated: tally.violated,
                examples: tally.examples,
            }
        };
        Guarantee::ALL.into_iter().map(result).collect()
    }
}

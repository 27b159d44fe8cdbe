//! The ten guarantees by name, and the count of their checks. The simulator and the demo share them, so that a
//! name in a report means the same in both.

use std::collections::BTreeMap;

use serde::Serialize;

/// Violations that are kept in words.
const KEPT_EXAMPLES: usize = 3;

/// The ten guarantees, in the brief's order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// The calls of one program are served in their order.
    CallsInOrder,
    /// A program's history is never lost and never mixed with another's.
    HistoryKept,
    /// A program's budget holds.
    BudgetHolds,
    /// No engine memory stays held for programs that are gone.
    NoMemoryForGonePrograms,
    /// Every caller gets the whole answer to its own request.
    WholeAnswers,
    /// A refusal that says "not run" is true.
    NotRunIsTrue,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving back end gets no new work after a few seconds.
    NoWorkForLeaving,
    /// A planned stop cuts off no request.
    PlannedStopCutsNothing,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    ConfigurationInForce,
}

impl Guarantee {
    /// All of them.
    pub const ALL: [Guarantee; 10] = [
        Guarantee::CallsInOrder,
        Guarantee::HistoryKept,
        Guarantee::BudgetHolds,
        Guarantee::NoMemoryForGonePrograms,
        Guarantee::WholeAnswers,
        Guarantee::NotRunIsTrue,
        Guarantee::AtMostOnce,
        Guarantee::NoWorkForLeaving,
        Guarantee::PlannedStopCutsNothing,
        Guarantee::ConfigurationInForce,
    ];

    /// The name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Guarantee::CallsInOrder => "calls_in_order",
            Guarantee::HistoryKept => "history_never_lost_or_mixed",
            Guarantee::BudgetHolds => "budget_holds",
            Guarantee::NoMemoryForGonePrograms => "no_engine_memory_for_gone_programs",
            Guarantee::WholeAnswers => "whole_answer_to_own_request",
            Guarantee::NotRunIsTrue => "not_run_is_true",
            Guarantee::AtMostOnce => "unrepeatable_runs_at_most_once",
            Guarantee::NoWorkForLeaving => "leaving_back_end_gets_no_new_work",
            Guarantee::PlannedStopCutsNothing => "planned_stop_cuts_nothing",
            Guarantee::ConfigurationInForce => "configuration_in_force_and_never_reverts",
        }
    }
}

/// One guarantee in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GuaranteeResult {
    /// Name.
    pub name: String,
    /// How often it was checked.
    pub checked: u64,
    /// How often it was violated.
    pub violated: u64,
    /// The first violations, in words.
    pub examples: Vec<String>,
}

#[derive(Debug, Default, Clone)]
struct Tally {
    checked: u64,
    violated: u64,
    examples: Vec<String>,
}

/// Counts of checks and violations.
#[derive(Debug, Default, Clone)]
pub struct Tallies {
    by_guarantee: BTreeMap<Guarantee, Tally>,
}

impl Tallies {
    /// Notes one check. `describe` is called only where the guarantee was violated.
    pub fn check(&mut self, guarantee: Guarantee, holds: bool, describe: impl FnOnce() -> String) {
        let tally = self.by_guarantee.entry(guarantee).or_default();
        tally.checked += 1;
        if holds {
            return;
        }
        tally.violated += 1;
        if tally.examples.len() < KEPT_EXAMPLES {
            tally.examples.push(describe());
        }
    }

    /// The results of all ten guarantees, in the brief's order.
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

//! The brief's ten guarantees, checked against what callers and stand-ins saw.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::GuaranteeResult;

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

#[derive(Debug, Default, Clone)]
struct Tally {
    checked: u64,
    violations: Vec<String>,
}

/// Collects checks from many tasks.
#[derive(Debug, Default)]
pub struct Checks {
    tallies: Mutex<BTreeMap<Guarantee, Tally>>,
}

impl Checks {
    /// Notes one check. `describe` is called only where the guarantee was violated.
    pub fn check(&self, guarantee: Guarantee, holds: bool, describe: impl FnOnce() -> String) {
        let mut tallies = self.lock();
        let tally = tallies.entry(guarantee).or_default();
        tally.checked += 1;
        if !holds {
            tally.violations.push(describe());
        }
    }

    /// The results of all ten guarantees.
    pub fn results(&self) -> Vec<GuaranteeResult> {
        let tallies = self.lock();
        let result = |guarantee: Guarantee| {
            let tally = tallies.get(&guarantee).cloned().unwrap_or_default();
            GuaranteeResult {
                name: guarantee.name().to_owned(),
                checked: tally.checked,
                violated: tally.violations.len() as u64,
                examples: tally.violations.into_iter().take(3).collect(),
            }
        };
        Guarantee::ALL.into_iter().map(result).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Guarantee, Tally>> {
        self.tallies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

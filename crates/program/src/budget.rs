//! Program budgets: reserved before each call and settled after it.

use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{Problem, ResultCode, Timestamp, TokenCount};

/// Limits over the lifetime of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Turns that may be committed.
    pub turns: u32,
    /// Tokens of the messages that callers add, as estimated by `sumacdrift_types::estimate_tokens`.
    ///
    /// The estimate is known before a call, unlike an engine's count, so the limit can be enforced exactly.
    pub input_tokens: TokenCount,
    /// Tokens that engines may generate.
    pub output_tokens: TokenCount,
    /// Seconds between the admission of the first call and of the last one.
    pub seconds: u64,
    /// Sub-agents that may be started.
    pub sub_agents: u32,
}

/// Budget used by a program, including the parts granted to its sub-agents.
#[allow(missing_docs)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BudgetSpent {
    /// Turns committed.
    pub turns: u32,
    /// Estimated tokens of the messages added by callers.
    pub input_tokens: TokenCount,
    pub output_tokens: TokenCount,
    pub sub_agents: u32,
}

/// Budget held by one call in flight, or part of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Reservation {
    /// Estimated tokens of the new messages.
    pub input_tokens: TokenCount,
    /// Limit on generated tokens.
    pub output_tokens: TokenCount,
}

/// A program's limits, use and reservation.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    /// Fixed when the program is created.
    pub limits: BudgetLimits,
    pub spent: BudgetSpent,
    /// Held by the call in flight.
    pub reserved: Reservation,
    /// When the first call was admitted.
    pub started: Timestamp,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(limits: BudgetLimits, started: Timestamp) -> Self {
        Self { limits, spent: BudgetSpent::default(), reserved: Reservation::default(), started }
    }

    /// Computes the reservation of a call without making it.
    ///
    /// `max_output_tokens` is reduced to the remaining output budget. Fails with `BudgetExhausted` if the time, turn,
    /// input or output limit is reached.
    pub fn plan(
        &self,
        input_tokens: TokenCount,
        max_output_tokens: TokenCount,
        now: Timestamp,
    ) -> Result<Reservation, Problem> {
        self.check_time(now)?;
        if self.spent.turns >= self.limits.turns {
            return Err(budget_exhausted("turns", u64::from(self.limits.turns)));
        }
        if input_tokens > self.remaining_input() {
            return Err(budget_exhausted("input tokens", self.limits.input_tokens));
        }
        if is_broken(Rule::ReserveBudget) {
            return Ok(Reservation { input_tokens, output_tokens: max_output_tokens });
        }
        let output_tokens = max_output_tokens.min(self.remaining_output());
        if output_tokens == 0 {
            return Err(budget_exhausted("output tokens", self.limits.output_tokens));
        }
        Ok(Reservation { input_tokens, output_tokens })
    }

    /// Computes the limits of a new sub-agent: a percentage of the remaining token budget and all remaining time.
    pub fn plan_child(&self, share_percent: u64, now: Timestamp) -> Result<BudgetLimits, Problem> {
        self.check_time(now)?;
        if self.spent.sub_agents >= self.limits.sub_agents {
            return Err(budget_exhausted("sub-agents", u64::from(self.limits.sub_agents)));
        }
        let share_of = |remaining: u64| remaining * share_percent / 100;
        let elapsed = now.since(self.started).as_secs();
        let limits = BudgetLimits {
            turns: self.limits.turns,
            input_tokens: share_of(self.remaining_input()),
            output_tokens: share_of(self.remaining_output()),
            seconds: self.limits.seconds.saturating_sub(elapsed),
            sub_agents: self.limits.sub_agents - self.spent.sub_agents - 1,
        };
        if limits.input_tokens == 0 || limits.output_tokens == 0 {
            return Err(budget_exhausted("tokens for a sub-agent", self.limits.output_tokens));
        }
        Ok(limits)
    }

    /// Charges the budget granted to a sub-agent as spent.
    pub fn charge_child_budget(&mut self, child: &BudgetLimits) {
        self.spent.input_tokens += child.input_tokens;
        self.spent.output_tokens += child.output_tokens;
        self.spent.sub_agents += 1;
    }

    /// Returns the unused budget of an ended sub-agent.
    pub fn return_unused(&mut self, unused: Reservation) {
        self.spent.input_tokens = self.spent.input_tokens.saturating_sub(unused.input_tokens);
        self.spent.output_tokens = self.spent.output_tokens.saturating_sub(unused.output_tokens);
    }

    /// Charges the budget used by a call and releases its reservation.
    pub fn settle(&mut self, used: Reservation, counts_as_turn: bool) {
        self.spent.input_tokens += used.input_tokens;
        self.spent.output_tokens += used.output_tokens;
        self.spent.turns += u32::from(counts_as_turn);
        self.reserved = Reservation::default();
    }

    /// Tokens neither spent nor reserved.
    pub fn unused(&self) -> Reservation {
        Reservation { input_tokens: self.remaining_input(), output_tokens: self.remaining_output() }
    }

    fn remaining_input(&self) -> TokenCount {
        let used = self.spent.input_tokens + self.reserved.input_tokens;
        self.limits.input_tokens.saturating_sub(used)
    }

    fn remaining_output(&self) -> TokenCount {
        let used = self.spent.output_tokens + self.reserved.output_tokens;
        self.limits.output_tokens.saturating_sub(used)
    }

    fn check_time(&self, now: Timestamp) -> Result<(), Problem> {
        if now.since(self.started) > Duration::from_secs(self.limits.seconds) {
            return Err(budget_exhausted("seconds", self.limits.seconds));
        }
        Ok(())
    }
}

fn budget_exhausted(what: &str, limit: u64) -> Problem {
    let detail = format!("the call exceeds the program's remaining budget (limit: {limit} {what})");
    Problem::not_run(ResultCode::BudgetExhausted, detail)
}

//! Budgets of one program: reserved before a call, settled after it.

use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{Problem, ResultCode, Timestamp, TokenCount};

/// Upper limits over the whole life of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Calls that may be recorded.
    pub turns: u32,
    /// Tokens of messages that callers add, by the estimate of `sumacdrift_types::estimate_tokens`.
    ///
    /// The estimate, not an engine's count, is the unit: it is known before the call, so the limit is exact.
    pub input_tokens: TokenCount,
    /// Tokens that engines may generate.
    pub output_tokens: TokenCount,
    /// Seconds between the first call's acceptance and the last one's.
    pub seconds: u64,
    /// Sub-agents that may be started.
    pub sub_agents: u32,
}

/// What a program has used, including the parts given to its sub-agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BudgetSpent {
    /// Calls recorded.
    pub turns: u32,
    /// Tokens of messages added.
    pub input_tokens: TokenCount,
    /// Tokens generated.
    pub output_tokens: TokenCount,
    /// Sub-agents started.
    pub sub_agents: u32,
}

/// What one call under way may use at the most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Reservation {
    /// Tokens of new messages.
    pub input_tokens: TokenCount,
    /// Cap on generated tokens.
    pub output_tokens: TokenCount,
}

/// A program's limits, what it spent and what its call under way holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    /// Limits fixed when the program began.
    pub limits: BudgetLimits,
    /// Used so far.
    pub spent: BudgetSpent,
    /// Held by the call under way.
    pub reserved: Reservation,
    /// When the first call was accepted.
    pub started: Timestamp,
}

impl Budget {
    /// A budget of which nothing is used.
    pub fn new(limits: BudgetLimits, started: Timestamp) -> Self {
        Self { limits, spent: BudgetSpent::default(), reserved: Reservation::default(), started }
    }

    /// Works out what a call may reserve, or why it may not run.
    ///
    /// The cap on generated tokens shrinks to what is left; input can't shrink and is refused instead.
    pub fn plan(
        &self,
        input_tokens: TokenCount,
        wanted_output: TokenCount,
        now: Timestamp,
    ) -> Result<Reservation, Problem> {
        self.check_time(now)?;
        if self.spent.turns >= self.limits.turns {
            return Err(exhausted("turns", u64::from(self.limits.turns)));
        }
        if input_tokens > self.input_left() {
            return Err(exhausted("input tokens", self.limits.input_tokens));
        }
        if is_broken(Rule::ReserveBudget) {
            return Ok(Reservation { input_tokens, output_tokens: wanted_output });
        }
        let output_tokens = wanted_output.min(self.output_left());
        if output_tokens == 0 {
            return Err(exhausted("output tokens", self.limits.output_tokens));
        }
        Ok(Reservation { input_tokens, output_tokens })
    }

    /// The part of what is left that a new sub-agent receives.
    pub fn plan_child(&self, share_percent: u64, now: Timestamp) -> Result<BudgetLimits, Problem> {
        self.check_time(now)?;
        if self.spent.sub_agents >= self.limits.sub_agents {
            return Err(exhausted("sub-agents", u64::from(self.limits.sub_agents)));
        }
        let share = |left: u64| left * share_percent / 100;
        let elapsed = now.since(self.started).as_secs();
        let limits = BudgetLimits {
            turns: self.limits.turns,
            input_tokens: share(self.input_left()),
            output_tokens: share(self.output_left()),
            seconds: self.limits.seconds.saturating_sub(elapsed),
            sub_agents: self.limits.sub_agents - self.spent.sub_agents - 1,
        };
        if limits.input_tokens == 0 || limits.output_tokens == 0 {
            return Err(exhausted("tokens for a sub-agent", self.limits.output_tokens));
        }
        Ok(limits)
    }

    /// Sets a part aside for a sub-agent.
    pub fn carve(&mut self, child: &BudgetLimits) {
        self.spent.input_tokens += child.input_tokens;
        self.spent.output_tokens += child.output_tokens;
        self.spent.sub_agents += 1;
    }

    /// Takes back what an ended sub-agent left unused.
    pub fn take_back(&mut self, unused: Reservation) {
        self.spent.input_tokens = self.spent.input_tokens.saturating_sub(unused.input_tokens);
        self.spent.output_tokens = self.spent.output_tokens.saturating_sub(unused.output_tokens);
    }

    /// Books what a call used and frees its reservation.
    pub fn settle(&mut self, used: Reservation, counts_as_turn: bool) {
        self.spent.input_tokens += used.input_tokens;
        self.spent.output_tokens += used.output_tokens;
        self.spent.turns += u32::from(counts_as_turn);
        self.reserved = Reservation::default();
    }

    /// What is neither spent nor reserved.
    pub fn unused(&self) -> Reservation {
        Reservation { input_tokens: self.input_left(), output_tokens: self.output_left() }
    }

    fn input_left(&self) -> TokenCount {
        let used = self.spent.input_tokens + self.reserved.input_tokens;
        self.limits.input_tokens.saturating_sub(used)
    }

    fn output_left(&self) -> TokenCount {
        let used = self.spent.output_tokens + self.reserved.output_tokens;
        self.limits.output_tokens.saturating_sub(used)
    }

    fn check_time(&self, now: Timestamp) -> Result<(), Problem> {
        if now.since(self.started) > Duration::from_secs(self.limits.seconds) {
            return Err(exhausted("seconds", self.limits.seconds));
        }
        Ok(())
    }
}

fn exhausted(what: &str, limit: u64) -> Problem {
    let detail = format!("the program's budget of {limit} {what} leaves nothing for this call");
    Problem::not_run(ResultCode::BudgetExhausted, detail)
}

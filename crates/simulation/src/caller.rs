//! Simulated callers: programs of several turns, and service calls that must run at most once.

use std::time::Duration;

use sumacdrift_types::{ChatMessage, HistoryMode, ProgramId, ResultCode, TurnNumber};

use crate::oracle::{expected_history, user_message};
use crate::packet::{CallerAnswer, CallerRequest, TurnRequest};

/// Time without an answer after which a caller sends its request to another node.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Output tokens that each turn requests.
pub(crate) const REQUESTED_OUTPUT_TOKENS: u64 = 40;

/// The requests of a caller. The `Debug` text appears in reports of violations.
#[derive(Debug, Clone)]
pub(crate) enum CallerPlan {
    Program { program: ProgramId, turns: u32, mode: HistoryMode, output_budget: u64, is_ended: bool },
    Service { key: String, answers_wanted: u32 },
}

/// A caller and its progress.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) plan: CallerPlan,
    /// Turns, or service calls, answered so far.
    pub(crate) answered: u32,
    /// Number of the latest request. Answers to earlier requests are accepted too.
    pub(crate) attempt: u64,
    pub(crate) is_done: bool,
    /// Whether the next full history is sent with its first message altered.
    pub(crate) should_alter_history: bool,
    /// Latest turn that was requested with an altered history.
    pub(crate) altered_turn: Option<u32>,
}

/// A caller's reaction to an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextStep {
    Continue,
    /// Send the same request again after a delay.
    Retry,
    /// The answer concerns a turn that is not the current one, or the caller is done.
    Ignore,
    Done,
}

impl Caller {
    pub(crate) fn new(plan: CallerPlan) -> Self {
        Self {
            plan,
            answered: 0,
            attempt: 0,
            is_done: false,
            should_alter_history: false,
            altered_turn: None,
        }
    }

    /// The request for the turn `ahead` turns after the next one. Past the last turn the request ends the
    /// program if `ahead` is 0, and is `None` otherwise.
    pub(crate) fn build_request(&self, ahead: u32) -> Option<CallerRequest> {
        match &self.plan {
            CallerPlan::Service { key, .. } => Some(CallerRequest::Service { key: key.clone(), body: 1 }),
            CallerPlan::Program { program, turns, mode, output_budget, is_ended } => {
                let turn = self.answered + ahead;
                if turn >= *turns || *is_ended {
                    let is_due = ahead == 0;
                    return is_due.then(|| CallerRequest::End { program: program.clone() });
                }
                Some(CallerRequest::Turn(TurnRequest {
                    program: program.clone(),
                    turn: TurnNumber(turn),
                    mode: *mode,
                    messages: self.messages(program, turn, *mode),
                    output_budget: *output_budget,
                    wanted_output: REQUESTED_OUTPUT_TOKENS,
                }))
            }
        }
    }

    fn messages(&self, program: &ProgramId, turn: u32, mode: HistoryMode) -> Vec<ChatMessage> {
        let new = user_message(program, turn);
        if mode == HistoryMode::Append {
            return vec![new];
        }
        let mut messages = expected_history(program, turn as usize);
        if self.should_alter_history && !messages.is_empty() {
            messages[0] = ChatMessage::from_canonical("{\"content\":\"altered\",\"role\":\"user\"}");
        }
        messages.push(new);
        messages
    }

    /// Applies an answer to a request for `turn`.
    pub(crate) fn handle_answer(&mut self, turn: u32, answer: &CallerAnswer) -> NextStep {
        if self.is_done {
            return NextStep::Ignore;
        }
        match answer {
            CallerAnswer::Turn { .. } if turn == self.answered => self.advance(),
            CallerAnswer::Turn { .. } => NextStep::Ignore,
            CallerAnswer::Service => self.advance(),
            CallerAnswer::Ended => self.finish(),
            CallerAnswer::Refused { problem, .. } => self.handle_rejection(turn, problem.code),
        }
    }

    fn advance(&mut self) -> NextStep {
        self.answered += 1;
        if let CallerPlan::Service { answers_wanted, .. } = &self.plan
            && self.answered >= *answers_wanted
        {
            return self.finish();
        }
        NextStep::Continue
    }

    fn handle_rejection(&mut self, turn: u32, code: ResultCode) -> NextStep {
        let is_current_turn = turn == self.answered;
        match code {
            ResultCode::OutcomeUnknown => self.finish(),
            ResultCode::BudgetExhausted if is_current_turn => {
                if let CallerPlan::Program { is_ended, .. } = &mut self.plan {
                    *is_ended = true;
                }
                NextStep::Continue
            }
            ResultCode::HistoryMismatch | ResultCode::TurnContentDiffers if self.should_alter_history => {
                self.should_alter_history = false;
                if is_current_turn { NextStep::Retry } else { NextStep::Ignore }
            }
            ResultCode::UnknownProgram | ResultCode::ProgramEnded => self.finish(),
            _ if is_current_turn => NextStep::Retry,
            _ => NextStep::Ignore,
        }
    }

    fn finish(&mut self) -> NextStep {
        self.is_done = true;
        NextStep::Done
    }
}

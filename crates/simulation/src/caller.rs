//! Callers: programs of several turns and service calls that may run only once.

use std::time::Duration;

use sumacdrift_types::{ChatMessage, HistoryMode, ProgramId, ResultCode, TurnNumber};

use crate::oracle::{expected_history, user_message};
use crate::packet::{CallerAnswer, CallerRequest, TurnRequest};

/// How long a caller waits before it asks another node.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Tokens that each turn asks for.
pub(crate) const WANTED_OUTPUT: u64 = 40;

/// What a caller does.
#[derive(Debug, Clone)]
pub(crate) enum Plan {
    Program { program: ProgramId, turns: u32, mode: HistoryMode, output_budget: u64, is_ended: bool },
    Service { key: String, answers_wanted: u32 },
}

/// A caller and how far it is.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) plan: Plan,
    /// Turns, or service answers, that it has.
    pub(crate) answered: u32,
    /// Number of the latest request; an answer to an earlier one is still an answer.
    pub(crate) attempt: u64,
    pub(crate) is_done: bool,
    /// Whether the next request is sent with an altered history first.
    pub(crate) lies_next: bool,
    /// The latest turn about which it sent an altered history.
    pub(crate) lied_about: Option<u32>,
}

/// What a caller does after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Next {
    /// Send the next request.
    Continue,
    /// Send the same request again after a pause.
    Again,
    /// The answer belongs to something already settled.
    Ignore,
    /// All done.
    Done,
}

impl Caller {
    pub(crate) fn new(plan: Plan) -> Self {
        Self { plan, answered: 0, attempt: 0, is_done: false, lies_next: false, lied_about: None }
    }

    /// The request that is due, `ahead` turns after the next one.
    pub(crate) fn request(&self, ahead: u32) -> Option<CallerRequest> {
        match &self.plan {
            Plan::Service { key, .. } => Some(CallerRequest::Service { key: key.clone(), body: 1 }),
            Plan::Program { program, turns, mode, output_budget, is_ended } => {
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
                    wanted_output: WANTED_OUTPUT,
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
        if self.lies_next && !messages.is_empty() {
            messages[0] = ChatMessage::from_canonical("{\"content\":\"altered\",\"role\":\"user\"}");
        }
        messages.push(new);
        messages
    }

    /// Takes an answer to a request for `turn`.
    pub(crate) fn take(&mut self, turn: u32, answer: &CallerAnswer) -> Next {
        if self.is_done {
            return Next::Ignore;
        }
        match answer {
            CallerAnswer::Turn { .. } if turn == self.answered => self.advance(),
            CallerAnswer::Turn { .. } => Next::Ignore,
            CallerAnswer::Service => self.advance(),
            CallerAnswer::Ended => self.finish(),
            CallerAnswer::Refused { problem, .. } => self.take_refusal(turn, problem.code),
        }
    }

    fn advance(&mut self) -> Next {
        self.answered += 1;
        if let Plan::Service { answers_wanted, .. } = &self.plan
            && self.answered >= *answers_wanted
        {
            return self.finish();
        }
        Next::Continue
    }

    fn take_refusal(&mut self, turn: u32, code: ResultCode) -> Next {
        let is_about_present = turn == self.answered;
        match code {
            ResultCode::OutcomeUnknown => self.finish(),
            ResultCode::BudgetExhausted if is_about_present => {
                if let Plan::Program { is_ended, .. } = &mut self.plan {
                    *is_ended = true;
                }
                Next::Continue
            }
            ResultCode::HistoryMismatch | ResultCode::TurnContentDiffers if self.lies_next => {
                self.lies_next = false;
                if is_about_present { Next::Again } else { Next::Ignore }
            }
            ResultCode::UnknownProgram | ResultCode::ProgramEnded => self.finish(),
            _ if is_about_present => Next::Again,
            _ => Next::Ignore,
        }
    }

    fn finish(&mut self) -> Next {
        self.is_done = true;
        Next::Done
    }
}

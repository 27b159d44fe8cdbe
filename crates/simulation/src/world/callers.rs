//! Callers of the simulated world: what they send, what they get, and what that must be.

use std::time::Duration;

use rand::Rng;
use sumacdrift_guarantees::Guarantee;
use sumacdrift_types::{HistoryMode, ProgramId, ResultCode};

use super::{ARRIVALS, Event, NODES, World};
use crate::caller::{CALLER_TIMEOUT, Caller, Next, Plan, WANTED_OUTPUT};
use crate::packet::{CallerAnswer, CallerRequest};

impl World {
    pub(super) fn plan_callers(&mut self, programs: usize) {
        for number in 0..programs {
            let Ok(program) = ProgramId::new(&format!("p{number}")) else { continue };
            let turns = self.random.random_range(1..=5);
            let is_tight = self.random.random_bool(0.2);
            let plan = Plan::Program {
                program,
                turns,
                mode: if self.random.random_bool(0.5) { HistoryMode::Append } else { HistoryMode::Full },
                output_budget: if is_tight { WANTED_OUTPUT * 3 / 2 } else { WANTED_OUTPUT * 100 },
                is_ended: false,
            };
            self.add_caller(plan);
        }
        for number in 0..programs.div_ceil(3) {
            let answers_wanted = self.random.random_range(1..=3);
            self.add_caller(Plan::Service { key: format!("hook-{number}"), answers_wanted });
        }
    }

    pub(super) fn add_caller(&mut self, plan: Plan) {
        let caller = self.callers.len();
        self.callers.push(Caller::new(plan));
        let start = self.random.random_range(500..ARRIVALS.as_millis() as u64);
        self.schedule(Duration::from_millis(start), Event::CallerSends { caller });
    }

    pub(super) fn caller_sends(&mut self, caller: usize) {
        if self.callers[caller].is_done {
            return;
        }
        let is_full_mode =
            matches!(&self.callers[caller].plan, Plan::Program { mode: HistoryMode::Full, .. });
        let is_first_try = self.callers[caller].attempt == 0 || !self.callers[caller].lies_next;
        if is_full_mode && is_first_try && self.callers[caller].answered > 0 {
            self.callers[caller].lies_next = self.random.random_bool(0.05);
        }
        if self.callers[caller].lies_next {
            self.callers[caller].lied_about = Some(self.callers[caller].answered);
        }
        let runs_ahead = !is_full_mode && self.random.random_bool(0.2);
        self.callers[caller].attempt += 1;
        let attempt = self.callers[caller].attempt;
        self.schedule(CALLER_TIMEOUT, Event::CallerTimer { caller, attempt });
        let mut requests: Vec<CallerRequest> = self.callers[caller].request(0).into_iter().collect();
        if runs_ahead && matches!(requests.first(), Some(CallerRequest::Turn(_))) {
            // The later turn is sent first, to see that it waits.
            requests.extend(self.callers[caller].request(1));
            requests.reverse();
        }
        for request in requests {
            let node = self.random.random_range(0..NODES);
            self.gateway_request(node, caller, request);
        }
    }

    pub(super) fn caller_gets(&mut self, caller: usize, turn: u32, answer: &CallerAnswer) {
        self.check_answer(caller, turn, answer);
        let next = self.callers[caller].take(turn, answer);
        let pause = Duration::from_millis(self.random.random_range(5..300));
        match next {
            Next::Continue | Next::Again => {
                self.callers[caller].attempt += 1;
                self.schedule(pause, Event::CallerSends { caller });
            }
            Next::Ignore | Next::Done => {}
        }
    }

    pub(super) fn check_answer(&mut self, caller: usize, turn: u32, answer: &CallerAnswer) {
        match (answer, &self.callers[caller].plan) {
            (CallerAnswer::Turn { message, .. }, Plan::Program { program, .. }) => {
                self.oracle.answered(program, turn, message);
            }
            (CallerAnswer::Refused { call, problem }, plan) => {
                let is_wrong_mismatch = problem.code == ResultCode::HistoryMismatch
                    && self.callers[caller].lied_about != Some(turn)
                    && turn == self.callers[caller].answered;
                let name = format!("{plan:?}");
                self.oracle.refused(*call, problem);
                self.oracle.check(Guarantee::HistoryKept, !is_wrong_mismatch, || {
                    format!("{name}: the right history was refused")
                });
            }
            _ => {}
        }
    }
}

//! Events of callers: requests, answers and the checks of the answers.

use std::time::Duration;

use rand::Rng;
use sumacdrift_guarantees::Guarantee;
use sumacdrift_types::{HistoryMode, ProgramId, ResultCode};

use super::{ARRIVAL_WINDOW, Event, NODES, World};
use crate::caller::{CALLER_TIMEOUT, Caller, CallerPlan, NextStep, REQUESTED_OUTPUT_TOKENS};
use crate::packet::{CallerAnswer, CallerRequest};

impl World {
    pub(super) fn plan_callers(&mut self, programs: usize) {
        for number in 0..programs {
            let Ok(program) = ProgramId::new(&format!("p{number}")) else { continue };
            let turns = self.random.random_range(1..=5);
            let has_small_budget = self.random.random_bool(0.2);
            let plan = CallerPlan::Program {
                program,
                turns,
                mode: if self.random.random_bool(0.5) { HistoryMode::Append } else { HistoryMode::Full },
                output_budget: if has_small_budget {
                    REQUESTED_OUTPUT_TOKENS * 3 / 2
                } else {
                    REQUESTED_OUTPUT_TOKENS * 100
                },
                is_ended: false,
            };
            self.add_caller(plan);
        }
        for number in 0..programs.div_ceil(3) {
            let answers_wanted = self.random.random_range(1..=3);
            self.add_caller(CallerPlan::Service { key: format!("hook-{number}"), answers_wanted });
        }
    }

    pub(super) fn add_caller(&mut self, plan: CallerPlan) {
        let caller = self.callers.len();
        self.callers.push(Caller::new(plan));
        let start = self.random.random_range(500..ARRIVAL_WINDOW.as_millis() as u64);
        self.schedule(Duration::from_millis(start), Event::CallerSends { caller });
    }

    pub(super) fn send_caller_request(&mut self, caller: usize) {
        if self.callers[caller].is_done {
            return;
        }
        let is_full_mode =
            matches!(&self.callers[caller].plan, CallerPlan::Program { mode: HistoryMode::Full, .. });
        let is_first_try = self.callers[caller].attempt == 0 || !self.callers[caller].should_alter_history;
        if is_full_mode && is_first_try && self.callers[caller].answered > 0 {
            self.callers[caller].should_alter_history = self.random.random_bool(0.05);
        }
        if self.callers[caller].should_alter_history {
            self.callers[caller].altered_turn = Some(self.callers[caller].answered);
        }
        let should_send_ahead = !is_full_mode && self.random.random_bool(0.2);
        self.callers[caller].attempt += 1;
        let attempt = self.callers[caller].attempt;
        self.schedule(CALLER_TIMEOUT, Event::CallerTimer { caller, attempt });
        let mut requests: Vec<CallerRequest> = self.callers[caller].build_request(0).into_iter().collect();
        if should_send_ahead && matches!(requests.first(), Some(CallerRequest::Turn(_))) {
            // The later turn is sent first and has to wait.
            requests.extend(self.callers[caller].build_request(1));
            requests.reverse();
        }
        for request in requests {
            let node = self.random.random_range(0..NODES);
            self.handle_request(node, caller, request);
        }
    }

    pub(super) fn receive_caller_answer(&mut self, caller: usize, turn: u32, answer: &CallerAnswer) {
        self.check_answer(caller, turn, answer);
        let next = self.callers[caller].handle_answer(turn, answer);
        let pause = Duration::from_millis(self.random.random_range(5..300));
        match next {
            NextStep::Continue | NextStep::Retry => {
                self.callers[caller].attempt += 1;
                self.schedule(pause, Event::CallerSends { caller });
            }
            NextStep::Ignore | NextStep::Done => {}
        }
    }

    pub(super) fn check_answer(&mut self, caller: usize, turn: u32, answer: &CallerAnswer) {
        match (answer, &self.callers[caller].plan) {
            (CallerAnswer::Turn { message, .. }, CallerPlan::Program { program, .. }) => {
                self.oracle.check_answer(program, turn, message);
            }
            (CallerAnswer::Refused { call, problem }, plan) => {
                let is_wrong_mismatch = problem.code == ResultCode::HistoryMismatch
                    && self.callers[caller].altered_turn != Some(turn)
                    && turn == self.callers[caller].answered;
                let plan = format!("{plan:?}");
                self.oracle.record_rejection(*call, problem);
                self.oracle.check(Guarantee::HistoryPreserved, !is_wrong_mismatch, || {
                    format!("{plan}: the correct history was rejected")
                });
            }
            _ => {}
        }
    }
}

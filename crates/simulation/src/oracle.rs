//! The oracle: records executions and answers, and checks the guarantees on them.
//!
//! Engine answers are a function of the correct history, so the expected answer to each turn is known in
//! advance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sumacdrift_guarantees::{Guarantee, Tallies};
use sumacdrift_program::Program;
use sumacdrift_types::{CallId, ChatMessage, PrefixDigest, Problem, ProgramId, Ran, Timestamp};

/// How long a leaving engine may still get calls.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) tallies: Tallies,
    /// Calls that reached a back end.
    started_calls: BTreeSet<CallId>,
    /// Calls that were reported as not run.
    reported_not_run: BTreeSet<CallId>,
    generated_tokens: BTreeMap<ProgramId, u64>,
    /// Executions by idempotency key.
    service_executions: BTreeMap<String, u64>,
    leaving_since: BTreeMap<usize, Timestamp>,
}

impl Oracle {
    pub(crate) fn check(&mut self, guarantee: Guarantee, holds: bool, describe: impl FnOnce() -> String) {
        self.tallies.check(guarantee, holds, describe);
    }

    /// Records a call that reached an engine and checks its prompt.
    pub(crate) fn record_engine_call(&mut self, call: CallId, program: &ProgramId, prompt: &[ChatMessage]) {
        self.record_run(call);
        let expected = expected_history(program, prompt.len().div_ceil(2));
        let expected = &expected[..prompt.len().min(expected.len())];
        let user_messages = |messages: &[ChatMessage]| -> Vec<String> {
            messages.iter().step_by(2).map(|message| message.canonical().to_owned()).collect()
        };
        self.check(Guarantee::CallsInOrder, user_messages(prompt) == user_messages(expected), || {
            format!("{program}: engine received turns {:?}", user_messages(prompt))
        });
        self.check(Guarantee::HistoryPreserved, prompt == expected, || {
            format!("{program}: engine received history {prompt:?}")
        });
    }

    pub(crate) fn add_generated_tokens(&mut self, program: &ProgramId, tokens: u64) {
        *self.generated_tokens.entry(program.clone()).or_default() += tokens;
    }

    pub(crate) fn record_service_execution(&mut self, call: CallId, key: &str) {
        self.record_run(call);
        let count = self.service_executions.entry(key.to_owned()).or_default();
        *count += 1;
        let count = *count;
        self.check(Guarantee::AtMostOnce, count <= 1, || format!("{key} ran {count} times"));
    }

    fn record_run(&mut self, call: CallId) {
        self.started_calls.insert(call);
        if self.reported_not_run.contains(&call) {
            self.check(Guarantee::NotRunIsAccurate, false, || {
                format!("{call} ran after it was reported as not run")
            });
        }
    }

    /// Records a rejection. A call reported as not run must not have run.
    pub(crate) fn record_rejection(&mut self, call: CallId, problem: &Problem) {
        if problem.ran == Ran::No {
            self.reported_not_run.insert(call);
            let has_run = self.started_calls.contains(&call);
            self.check(Guarantee::NotRunIsAccurate, !has_run, || {
                format!("{call} ran, but was answered {problem}")
            });
        }
    }

    pub(crate) fn check_answer(&mut self, program: &ProgramId, turn: u32, message: &ChatMessage) {
        let expected = expected_history(program, turn as usize + 1);
        let holds = expected.last() == Some(message);
        self.check(Guarantee::CompleteAnswers, holds, || {
            format!("{program} turn {turn}: got {message:?}, expected {:?}", expected.last())
        });
    }

    /// Checks the leader's record of a program of which `turns` turns were answered.
    pub(crate) fn check_recorded_history(
        &mut self,
        program: &ProgramId,
        turns: u32,
        record: Option<&Program>,
    ) {
        let expected = expected_history(program, turns as usize);
        let recorded = record.map(|record| record.history.messages().to_vec()).unwrap_or_default();
        let holds = recorded.len() >= expected.len() && recorded[..expected.len()] == expected[..];
        self.check(Guarantee::HistoryPreserved, holds, || {
            format!("{program}: {turns} turns were answered, but the recorded history is {recorded:?}")
        });
    }

    pub(crate) fn check_budget(&mut self, program: &ProgramId, limit: u64) {
        let generated_tokens = self.generated_tokens.get(program).copied().unwrap_or(0);
        self.check(Guarantee::BudgetEnforced, generated_tokens <= limit, || {
            format!("{program}: {generated_tokens} tokens generated of {limit}")
        });
    }

    /// Replaces the set of leaving engines; an engine that stays in it keeps its time.
    pub(crate) fn set_leaving(&mut self, leaving: &[usize], now: Timestamp) {
        self.leaving_since.retain(|engine, _| leaving.contains(engine));
        for engine in leaving {
            self.leaving_since.entry(*engine).or_insert(now);
        }
    }

    /// Checks a call sent to an engine. `is_excused`: the node may not have learned yet that the engine is
    /// leaving.
    pub(crate) fn check_dispatch(&mut self, engine: usize, is_excused: bool, now: Timestamp) {
        if self.leaving_since.is_empty() {
            return;
        }
        let since = self.leaving_since.get(&engine).copied();
        let is_late = since.is_some_and(|since| now.since(since) > LEAVING_GRACE);
        self.check(Guarantee::NoCallsToLeavingEngines, !is_late || is_excused, || {
            format!("engine {engine} got a call although it has been leaving since {since:?}")
        });
    }
}

pub(crate) fn user_message(program: &ProgramId, turn: u32) -> ChatMessage {
    ChatMessage::from_canonical(format!("{{\"content\":\"{program}/{turn}\",\"role\":\"user\"}}"))
}

/// The deterministic answer to a prompt.
pub(crate) fn engine_answer(prompt: &[ChatMessage]) -> ChatMessage {
    let start = PrefixDigest::default();
    let digest = prompt.iter().fold(start, |digest, message| digest.extend(message.digest()));
    ChatMessage::assistant(&format!("{digest:?}"))
}

/// The correct history of a program after a number of turns.
pub(crate) fn expected_history(program: &ProgramId, turns: usize) -> Vec<ChatMessage> {
    let mut history = Vec::with_capacity(turns * 2);
    for turn in 0..turns {
        history.push(user_message(program, turn as u32));
        history.push(engine_answer(&history));
    }
    history
}

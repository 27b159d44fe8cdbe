//! The oracle: a record of what callers sent, what ran and what was answered, and ten checks on it.
//!
//! It is kept far simpler than the system: answers are a function of the right history, so the right answer to
//! each turn is known before anything runs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sumacdrift_guarantees::{Guarantee, Tallies};
use sumacdrift_program::Program;
use sumacdrift_types::{CallId, ChatMessage, PrefixDigest, Problem, ProgramId, Ran, Timestamp};

/// A leaving engine may still get calls for this long.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// What callers sent, what ran and what was answered.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) tallies: Tallies,
    /// Calls that reached a back end.
    ran: BTreeSet<CallId>,
    /// Calls of which somebody was told that they did not run.
    not_run: BTreeSet<CallId>,
    /// Tokens that engines generated, by program.
    generated: BTreeMap<ProgramId, u64>,
    /// Executions by key.
    executions: BTreeMap<String, u64>,
    /// Since when engines are leaving.
    leaving_since: BTreeMap<usize, Timestamp>,
}

impl Oracle {
    pub(crate) fn check(&mut self, guarantee: Guarantee, holds: bool, describe: impl FnOnce() -> String) {
        self.tallies.check(guarantee, holds, describe);
    }

    /// An engine received a prompt of a program.
    pub(crate) fn engine_run(&mut self, call: CallId, program: &ProgramId, prompt: &[ChatMessage]) {
        self.note_ran(call);
        let expected = expected_history(program, prompt.len().div_ceil(2));
        let expected = &expected[..prompt.len().min(expected.len())];
        let users = |messages: &[ChatMessage]| -> Vec<String> {
            messages.iter().step_by(2).map(|message| message.canonical().to_owned()).collect()
        };
        self.check(Guarantee::CallsInOrder, users(prompt) == users(expected), || {
            format!("{program}: engine got turns {:?}", users(prompt))
        });
        self.check(Guarantee::HistoryKept, prompt == expected, || {
            format!("{program}: engine got history {prompt:?}")
        });
    }

    /// An engine generated tokens for a program.
    pub(crate) fn engine_generated(&mut self, program: &ProgramId, tokens: u64) {
        *self.generated.entry(program.clone()).or_default() += tokens;
    }

    /// A service carried out a call.
    pub(crate) fn service_run(&mut self, call: CallId, key: &str) {
        self.note_ran(call);
        let count = self.executions.entry(key.to_owned()).or_default();
        *count += 1;
        let count = *count;
        self.check(Guarantee::AtMostOnce, count <= 1, || format!("{key} ran {count} times"));
    }

    fn note_ran(&mut self, call: CallId) {
        self.ran.insert(call);
        if self.not_run.contains(&call) {
            self.check(Guarantee::NotRunIsTrue, false, || format!("{call} ran after \"not run\" was said"));
        }
    }

    /// A caller was refused.
    pub(crate) fn refused(&mut self, call: CallId, problem: &Problem) {
        if problem.ran == Ran::No {
            self.not_run.insert(call);
            let has_run = self.ran.contains(&call);
            self.check(Guarantee::NotRunIsTrue, !has_run, || format!("{call} ran, but was told {problem}"));
        }
    }

    /// A caller got an answer to a turn.
    pub(crate) fn answered(&mut self, program: &ProgramId, turn: u32, message: &ChatMessage) {
        let expected = expected_history(program, turn as usize + 1);
        let holds = expected.last() == Some(message);
        self.check(Guarantee::WholeAnswers, holds, || {
            format!("{program} turn {turn}: got {message:?}, expected {:?}", expected.last())
        });
    }

    /// The state that a shard's leader holds for a program of which `turns` were answered.
    pub(crate) fn recorded(&mut self, program: &ProgramId, turns: u32, record: Option<&Program>) {
        let expected = expected_history(program, turns as usize);
        let recorded = record.map(|record| record.history.messages().to_vec()).unwrap_or_default();
        let holds = recorded.len() >= expected.len() && recorded[..expected.len()] == expected[..];
        self.check(Guarantee::HistoryKept, holds, || {
            format!("{program}: {turns} turns were answered, recorded is {recorded:?}")
        });
    }

    /// A program's budget at the end.
    pub(crate) fn budget(&mut self, program: &ProgramId, limit: u64) {
        let generated = self.generated.get(program).copied().unwrap_or(0);
        self.check(Guarantee::BudgetHolds, generated <= limit, || {
            format!("{program}: {generated} tokens generated of {limit}")
        });
    }

    /// An engine was declared to be leaving, or no longer to be.
    pub(crate) fn set_leaving(&mut self, leaving: &[usize], now: Timestamp) {
        self.leaving_since.retain(|engine, _| leaving.contains(engine));
        for engine in leaving {
            self.leaving_since.entry(*engine).or_insert(now);
        }
    }

    /// A call was sent to an engine. `is_excused` where its node could not have heard of the engine's leaving.
    pub(crate) fn sent_to(&mut self, engine: usize, is_excused: bool, now: Timestamp) {
        if self.leaving_since.is_empty() {
            return;
        }
        let since = self.leaving_since.get(&engine).copied();
        let is_late = since.is_some_and(|since| now.since(since) > LEAVING_GRACE);
        self.check(Guarantee::NoWorkForLeaving, !is_late || is_excused, || {
            format!("engine {engine} got a call though it is leaving since {since:?}")
        });
    }
}

/// The message of a turn.
pub(crate) fn user_message(program: &ProgramId, turn: u32) -> ChatMessage {
    ChatMessage::from_canonical(format!("{{\"content\":\"{program}/{turn}\",\"role\":\"user\"}}"))
}

/// What an engine answers to a prompt.
pub(crate) fn engine_answer(prompt: &[ChatMessage]) -> ChatMessage {
    let start = PrefixDigest::default();
    let digest = prompt.iter().fold(start, |digest, message| digest.extend(message.digest()));
    ChatMessage::assistant(&format!("{digest:?}"))
}

/// The right history of a program after a number of turns.
pub(crate) fn expected_history(program: &ProgramId, turns: usize) -> Vec<ChatMessage> {
    let mut history = Vec::with_capacity(turns * 2);
    for turn in 0..turns {
        history.push(user_message(program, turn as u32));
        history.push(engine_answer(&history));
    }
    history
}

//! Runs one program as a careful caller does: turn by turn, repeating on another node what got no whole answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use sumacdrift_emulator::{Prompt, answer_text, output_length};
use sumacdrift_types::{ResultCode, Usage};
use tokio::time::Instant;

use crate::checks::{Checks, Guarantee};
use crate::fleet::MODEL;
use crate::statistics::Times;
use crate::workload::{ProgramKind, ProgramPlan, TurnPlan};
use crate::{Caller, ChatOutcome, ChatRequest, Refusal, ServiceOutcome};

/// Tries for one turn before the program is given up.
const MAX_TRIES: usize = 60;
/// Longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Pause after a broken connection.
const BROKEN_PAUSE: Duration = Duration::from_millis(100);
/// Cap on generated tokens that callers ask for.
const MAX_TOKENS: u64 = 512;

/// What all programs share.
pub struct RunContext {
    /// Callers' addresses of the nodes.
    pub nodes: Vec<SocketAddr>,
    /// The checks.
    pub checks: Checks,
    /// Results.
    pub results: Mutex<Results>,
    /// Next node to try; programs spread over the nodes by turns.
    pub next_node: AtomicUsize,
    /// Connections that broke, by node.
    pub broken: Vec<AtomicU64>,
}

/// What came together over all programs.
#[derive(Debug, Default)]
pub struct Results {
    pub(crate) latency: Times,
    pub(crate) first_token: Times,
    pub(crate) turns: u64,
    pub(crate) replays: u64,
    pub(crate) done: usize,
    pub(crate) failed: usize,
    pub(crate) refusals: BTreeMap<u32, u64>,
    /// Refusals that said "not run".
    pub(crate) not_run_calls: Vec<String>,
    /// Keys of calls that may run only once, with the number of answers seen.
    pub(crate) hook_keys: Vec<String>,
    /// Programs that were ended.
    pub(crate) ended: Vec<String>,
}

impl RunContext {
    /// A context for programs that call these nodes.
    pub fn new(nodes: Vec<SocketAddr>) -> Self {
        let broken = nodes.iter().map(|_| AtomicU64::new(0)).collect();
        Self {
            nodes,
            checks: Checks::default(),
            results: Mutex::default(),
            next_node: AtomicUsize::new(0),
            broken,
        }
    }

    /// The results so far.
    pub fn results(&self) -> MutexGuard<'_, Results> {
        self.results.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pick_node(&self) -> usize {
        self.next_node.fetch_add(1, Ordering::Relaxed) % self.nodes.len()
    }

    fn note_refusal(&self, refusal: &Refusal) {
        let mut results = self.results();
        *results.refusals.entry(refusal.code).or_default() += 1;
        if refusal.ran == "no" && !refusal.call.is_empty() {
            results.not_run_calls.push(refusal.call.clone());
        }
    }
}

/// How a turn ended after all tries.
enum TurnEnd {
    Answered(String),
    BudgetExhausted,
    GivenUp,
}

/// Runs a program to its end.
pub async fn run(context: &RunContext, caller: &Caller, plan: &ProgramPlan) {
    let started = Instant::now();
    let mut run = ProgramRun { context, caller, plan, messages: Vec::new() };
    run.messages.push(json!({"role": "system", "content": plan.system}));
    let is_done = run.turns().await;
    run.check_history().await;
    let is_ended = run.end().await;
    let mut results = context.results();
    if is_done {
        results.done += 1;
        results.latency.add(started.elapsed());
    } else {
        results.failed += 1;
    }
    if is_ended {
        results.ended.push(plan.name.clone());
    }
}

struct ProgramRun<'a> {
    context: &'a RunContext,
    caller: &'a Caller,
    plan: &'a ProgramPlan,
    /// The history as the caller knows it.
    messages: Vec<Value>,
}

impl ProgramRun<'_> {
    async fn turns(&mut self) -> bool {
        for (number, turn) in self.plan.turns.iter().enumerate() {
            tokio::time::sleep(Duration::from_millis(turn.pause_millis)).await;
            match self.turn(number as u32, turn).await {
                TurnEnd::Answered(_) => {}
                TurnEnd::BudgetExhausted => {
                    let expected = self.plan.kind == ProgramKind::Runaway;
                    self.context.checks.check(Guarantee::BudgetEnforced, expected, || {
                        format!("{} ran out of a large budget", self.plan.name)
                    });
                    return true;
                }
                TurnEnd::GivenUp => return false,
            }
            if turn.has_sub_agent && !self.sub_agent(number).await {
                return false;
            }
        }
        if self.plan.kind == ProgramKind::Runaway {
            self.context.checks.check(Guarantee::BudgetEnforced, false, || {
                format!("{} was never stopped by its budget", self.plan.name)
            });
        }
        !self.plan.has_hook || self.hook().await
    }

    async fn turn(&mut self, number: u32, turn: &TurnPlan) -> TurnEnd {
        let user = json!({"role": "user", "content": turn.message});
        let new_from = if number == 0 { 0 } else { self.messages.len() };
        self.messages.push(user);
        let sent = match self.plan.is_append {
            true => self.messages[new_from..].to_vec(),
            false => self.messages.clone(),
        };
        let request = ChatRequest {
            key: self.plan.key.to_owned(),
            model: MODEL.to_owned(),
            messages: sent,
            program: Some((self.plan.name.clone(), Some(number))),
            parent: None,
            max_tokens: Some(MAX_TOKENS),
            is_append: self.plan.is_append,
        };
        let end = if turn.is_doubled {
            let (first, second) = tokio::join!(self.answered(&request), self.answered(&request));
            self.check_same(&first, &second);
            first
        } else {
            self.answered(&request).await
        };
        match &end {
            TurnEnd::Answered(text) => {
                self.check_answer(text);
                self.messages.push(json!({"role": "assistant", "content": text}));
            }
            _ => {
                self.messages.pop();
            }
        }
        end
    }

    fn check_same(&self, first: &TurnEnd, second: &TurnEnd) {
        if let (TurnEnd::Answered(first), TurnEnd::Answered(second)) = (first, second) {
            self.context.checks.check(Guarantee::CompleteAnswers, first == second, || {
                format!("{}: two requests for one turn got two answers", self.plan.name)
            });
        }
    }

    /// Sends a turn until it is answered, to another node after each failure.
    async fn answered(&self, request: &ChatRequest) -> TurnEnd {
        let mut node = self.context.pick_node();
        for _ in 0..MAX_TRIES {
            match self.caller.chat(self.context.nodes[node], request).await {
                ChatOutcome::Answer { text, usage, is_replay, first_token, is_whole } => {
                    self.note_answer(&text, usage, is_replay, first_token, is_whole);
                    if is_whole {
                        return TurnEnd::Answered(text);
                    }
                }
                ChatOutcome::Refused(refusal) => {
                    self.context.note_refusal(&refusal);
                    if refusal.code == ResultCode::BudgetExhausted.number() {
                        return TurnEnd::BudgetExhausted;
                    }
                    if is_final(refusal.code) {
                        return TurnEnd::GivenUp;
                    }
                    let pause = refusal.retry_after.unwrap_or(BROKEN_PAUSE);
                    tokio::time::sleep(pause.min(MAX_PAUSE)).await;
                }
                ChatOutcome::Broken { not_sent } => {
                    if !not_sent {
                        self.context.broken[node].fetch_add(1, Ordering::Relaxed);
                    }
                    tokio::time::sleep(BROKEN_PAUSE).await;
                }
            }
            node = (node + 1) % self.context.nodes.len();
        }
        TurnEnd::GivenUp
    }

    fn note_answer(&self, text: &str, usage: Usage, is_replay: bool, first_token: Duration, is_whole: bool) {
        let mut results = self.context.results();
        results.turns += 1;
        if is_replay {
            results.replays += 1;
        } else {
            results.first_token.add(first_token);
        }
        drop(results);
        let tokens = (text.len() / 4) as u64;
        let holds = is_whole && tokens == usage.output_tokens;
        self.context.checks.check(Guarantee::CompleteAnswers, holds, || {
            let name = &self.plan.name;
            format!("{name}: whole {is_whole}, {tokens} tokens seen, {} reported", usage.output_tokens)
        });
    }

    /// The answer is a function of the right history; any other answer shows a lost or mixed one.
    fn check_answer(&self, text: &str) {
        let prompt = Prompt::from_messages(&self.messages);
        let is_runaway = self.plan.kind == ProgramKind::Runaway;
        let expected = answer_text(&prompt, output_length(&prompt, MAX_TOKENS));
        let holds = if is_runaway { expected.starts_with(text) } else { expected == text };
        self.context.checks.check(Guarantee::HistoryPreserved, holds, || {
            format!("{}: the answer does not follow from the history", self.plan.name)
        });
    }

    async fn sub_agent(&self, number: usize) -> bool {
        let name = format!("{}-sub-{number}", self.plan.name);
        let messages = vec![json!({"role": "user", "content": format!("look into {name} [[tokens=20]]")})];
        let request = ChatRequest {
            key: self.plan.key.to_owned(),
            model: MODEL.to_owned(),
            messages: messages.clone(),
            program: Some((name.clone(), Some(0))),
            parent: Some(self.plan.name.clone()),
            max_tokens: Some(MAX_TOKENS),
            is_append: false,
        };
        let TurnEnd::Answered(text) = self.answered(&request).await else { return false };
        let prompt = Prompt::from_messages(&messages);
        let expected = answer_text(&prompt, output_length(&prompt, MAX_TOKENS));
        self.context.checks.check(Guarantee::HistoryPreserved, text == expected, || {
            format!("{name}: the answer does not follow from the history")
        });
        // The sub-agent is left to its parent's end, which must end it too.
        self.context.results().ended.push(name);
        true
    }

    /// A call that may run only once, sent at least twice by a caller that fears for its answer.
    async fn hook(&self) -> bool {
        let key = format!("{}-hook", self.plan.name);
        self.context.results().hook_keys.push(key.clone());
        let body = format!("{{\"program\":\"{}\"}}", self.plan.name);
        let mut answers = 0;
        for attempt in 0..MAX_TRIES {
            let node = self.context.nodes[self.context.pick_node()];
            match self.caller.service(node, self.plan.key, "/sign", Some(&key), &body).await {
                ServiceOutcome::Answer { is_replay, .. } => {
                    answers += 1;
                    self.context.results().replays += u64::from(is_replay);
                    if answers == 2 {
                        return true;
                    }
                }
                ServiceOutcome::Refused(refusal) => {
                    self.context.note_refusal(&refusal);
                    // An unknown outcome stays unknown; a person has to look.
                    if refusal.code == ResultCode::OutcomeUnknown.number() && attempt > 0 {
                        return true;
                    }
                    tokio::time::sleep(refusal.retry_after.unwrap_or(BROKEN_PAUSE).min(MAX_PAUSE)).await;
                }
                ServiceOutcome::Broken => tokio::time::sleep(BROKEN_PAUSE).await,
            }
        }
        false
    }

    /// Compares the recorded history with the caller's.
    async fn check_history(&self) {
        let mut recorded = Vec::new();
        for _ in 0..MAX_TRIES {
            let node = self.context.nodes[self.context.pick_node()];
            let first = recorded.len();
            let report = self.caller.describe(node, self.plan.key, &self.plan.name, first).await;
            let Some(report) = report else {
                tokio::time::sleep(BROKEN_PAUSE).await;
                continue;
            };
            self.check_budget(&report);
            let messages = report.pointer("/history/messages").and_then(Value::as_array);
            recorded.extend(messages.into_iter().flatten().cloned());
            let total = report.pointer("/history/messages_recorded").and_then(Value::as_u64).unwrap_or(0);
            if recorded.len() as u64 >= total {
                let holds = recorded == self.messages || self.messages.len() <= 1;
                self.context.checks.check(Guarantee::HistoryPreserved, holds, || {
                    let name = &self.plan.name;
                    format!("{name}: {} messages recorded, {} known", recorded.len(), self.messages.len())
                });
                return;
            }
        }
    }

    fn check_budget(&self, report: &Value) {
        let number = |pointer: &str| report.pointer(pointer).and_then(Value::as_u64).unwrap_or(u64::MAX);
        for what in ["turns", "input_tokens", "output_tokens", "sub_agents"] {
            let spent = number(&format!("/budget/spent/{what}"));
            let limit = number(&format!("/budget/limits/{what}"));
            self.context.checks.check(Guarantee::BudgetEnforced, spent <= limit, || {
                format!("{}: {spent} {what} spent of {limit}", self.plan.name)
            });
        }
    }

    async fn end(&self) -> bool {
        for _ in 0..MAX_TRIES {
            let node = self.context.nodes[self.context.pick_node()];
            if self.caller.end_program(node, self.plan.key, &self.plan.name).await {
                return true;
            }
            tokio::time::sleep(BROKEN_PAUSE).await;
        }
        false
    }
}

/// Whether a repetition can't help.
fn is_final(code: u32) -> bool {
    (1000..3000).contains(&code) && code != ResultCode::TenantLimit.number()
        || code == ResultCode::HistoryMismatch.number()
        || code == ResultCode::TurnContentDiffers.number()
        || code == ResultCode::ProgramEnded.number()
}

//! Runs a program turn by turn; a turn without a complete answer is retried on another node.

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
use crate::statistics::DurationHistogram;
use crate::workload::{ProgramKind, ProgramPlan, TurnPlan};
use crate::{Caller, ChatOutcome, ChatRequest, Refusal, ServiceOutcome};

/// Attempts of a request before it is given up.
const MAX_ATTEMPTS: usize = 60;
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry delay if the node gave none.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Limit on output tokens per request.
const MAX_TOKENS: u64 = 512;

/// State shared by all programs.
pub struct RunContext {
    /// Addresses of the nodes for callers.
    pub nodes: Vec<SocketAddr>,
    pub checks: Checks,
    pub results: Mutex<Results>,
    /// Round-robin counter over the nodes.
    pub next_node: AtomicUsize,
    /// Broken connections, by node.
    pub broken_connections: Vec<AtomicU64>,
}

/// Results of all programs.
#[derive(Debug, Default)]
pub struct Results {
    pub(crate) latency: DurationHistogram,
    pub(crate) first_token: DurationHistogram,
    pub(crate) turns: u64,
    pub(crate) replays: u64,
    pub(crate) done: usize,
    pub(crate) failed: usize,
    pub(crate) refusals: BTreeMap<u32, u64>,
    /// Calls that were reported as not run.
    pub(crate) not_run_calls: Vec<String>,
    /// Idempotency keys of hooks, which must run at most once.
    pub(crate) hook_keys: Vec<String>,
    /// Names of ended programs and of their sub-agents.
    pub(crate) ended: Vec<String>,
}

impl RunContext {
    pub fn new(nodes: Vec<SocketAddr>) -> Self {
        let broken_connections = nodes.iter().map(|_| AtomicU64::new(0)).collect();
        Self {
            nodes,
            checks: Checks::default(),
            results: Mutex::default(),
            next_node: AtomicUsize::new(0),
            broken_connections,
        }
    }

    pub fn results(&self) -> MutexGuard<'_, Results> {
        self.results.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pick_node(&self) -> usize {
        self.next_node.fetch_add(1, Ordering::Relaxed) % self.nodes.len()
    }

    fn record_rejection(&self, refusal: &Refusal) {
        let mut results = self.results();
        *results.refusals.entry(refusal.code).or_default() += 1;
        if refusal.ran == "no" && !refusal.call.is_empty() {
            results.not_run_calls.push(refusal.call.clone());
        }
    }
}

/// Outcome of a turn after all attempts.
enum TurnOutcome {
    Answered(String),
    BudgetExhausted,
    GivenUp,
}

/// Runs a program to its end.
pub async fn run(context: &RunContext, caller: &Caller, plan: &ProgramPlan) {
    let started = Instant::now();
    let mut run = ProgramRun { context, caller, plan, messages: Vec::new() };
    run.messages.push(json!({"role": "system", "content": plan.system}));
    let is_done = run.run_turns().await;
    run.check_history().await;
    let is_ended = run.end_program().await;
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
    /// The history as known to the caller.
    messages: Vec<Value>,
}

impl ProgramRun<'_> {
    async fn run_turns(&mut self) -> bool {
        for (number, turn) in self.plan.turns.iter().enumerate() {
            tokio::time::sleep(Duration::from_millis(turn.pause_millis)).await;
            match self.run_turn(number as u32, turn).await {
                TurnOutcome::Answered(_) => {}
                TurnOutcome::BudgetExhausted => {
                    let expected = self.plan.kind == ProgramKind::Runaway;
                    self.context.checks.check(Guarantee::BudgetEnforced, expected, || {
                        format!("{} exhausted a large budget", self.plan.name)
                    });
                    return true;
                }
                TurnOutcome::GivenUp => return false,
            }
            if turn.has_sub_agent && !self.run_sub_agent(number).await {
                return false;
            }
        }
        if self.plan.kind == ProgramKind::Runaway {
            self.context.checks.check(Guarantee::BudgetEnforced, false, || {
                format!("{} was never stopped by its budget", self.plan.name)
            });
        }
        !self.plan.has_hook || self.run_hook().await
    }

    async fn run_turn(&mut self, number: u32, turn: &TurnPlan) -> TurnOutcome {
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
            let (first, second) = tokio::join!(self.send_turn(&request), self.send_turn(&request));
            self.check_same_answer(&first, &second);
            first
        } else {
            self.send_turn(&request).await
        };
        match &end {
            TurnOutcome::Answered(text) => {
                self.check_answer(text);
                self.messages.push(json!({"role": "assistant", "content": text}));
            }
            _ => {
                self.messages.pop();
            }
        }
        end
    }

    fn check_same_answer(&self, first: &TurnOutcome, second: &TurnOutcome) {
        if let (TurnOutcome::Answered(first), TurnOutcome::Answered(second)) = (first, second) {
            self.context.checks.check(Guarantee::CompleteAnswers, first == second, || {
                format!("{}: two requests for one turn got different answers", self.plan.name)
            });
        }
    }

    /// Sends a turn until it is answered, with each attempt to another node.
    async fn send_turn(&self, request: &ChatRequest) -> TurnOutcome {
        let mut node = self.context.pick_node();
        for _ in 0..MAX_ATTEMPTS {
            match self.caller.chat(self.context.nodes[node], request).await {
                ChatOutcome::Answer { text, usage, is_replay, first_token, is_whole } => {
                    self.record_answer(&text, usage, is_replay, first_token, is_whole);
                    if is_whole {
                        return TurnOutcome::Answered(text);
                    }
                }
                ChatOutcome::Refused(refusal) => {
                    self.context.record_rejection(&refusal);
                    if refusal.code == ResultCode::BudgetExhausted.number() {
                        return TurnOutcome::BudgetExhausted;
                    }
                    if is_final(refusal.code) {
                        return TurnOutcome::GivenUp;
                    }
                    let pause = refusal.retry_after.unwrap_or(RETRY_DELAY);
                    tokio::time::sleep(pause.min(MAX_RETRY_DELAY)).await;
                }
                ChatOutcome::Broken { not_sent } => {
                    if !not_sent {
                        self.context.broken_connections[node].fetch_add(1, Ordering::Relaxed);
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            node = (node + 1) % self.context.nodes.len();
        }
        TurnOutcome::GivenUp
    }

    fn record_answer(
        &self,
        text: &str,
        usage: Usage,
        is_replay: bool,
        first_token: Duration,
        is_whole: bool,
    ) {
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
            format!("{name}: complete {is_whole}, {tokens} tokens received, {} reported", usage.output_tokens)
        });
    }

    /// Checks an answer against the history: engines answer by a function of the history.
    fn check_answer(&self, text: &str) {
        let prompt = Prompt::from_messages(&self.messages);
        let is_runaway = self.plan.kind == ProgramKind::Runaway;
        let expected = answer_text(&prompt, output_length(&prompt, MAX_TOKENS));
        let holds = if is_runaway { expected.starts_with(text) } else { expected == text };
        self.context.checks.check(Guarantee::HistoryPreserved, holds, || {
            format!("{}: the answer doesn't match the history", self.plan.name)
        });
    }

    async fn run_sub_agent(&self, number: usize) -> bool {
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
        let TurnOutcome::Answered(text) = self.send_turn(&request).await else { return false };
        let prompt = Prompt::from_messages(&messages);
        let expected = answer_text(&prompt, output_length(&prompt, MAX_TOKENS));
        self.context.checks.check(Guarantee::HistoryPreserved, text == expected, || {
            format!("{name}: the answer doesn't match the history")
        });
        // The sub-agent isn't ended here: the end of its parent must end it too.
        self.context.results().ended.push(name);
        true
    }

    /// Sends a call that must run at most once, and repeats it after the first answer.
    async fn run_hook(&self) -> bool {
        let key = format!("{}-hook", self.plan.name);
        self.context.results().hook_keys.push(key.clone());
        let body = format!("{{\"program\":\"{}\"}}", self.plan.name);
        let mut answers = 0;
        for attempt in 0..MAX_ATTEMPTS {
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
                    self.context.record_rejection(&refusal);
                    // An unknown outcome stays unknown, so further attempts are of no use.
                    if refusal.code == ResultCode::OutcomeUnknown.number() && attempt > 0 {
                        return true;
                    }
                    tokio::time::sleep(refusal.retry_after.unwrap_or(RETRY_DELAY).min(MAX_RETRY_DELAY)).await;
                }
                ServiceOutcome::Broken => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
        false
    }

    /// Compares the recorded history with the caller's.
    async fn check_history(&self) {
        let mut recorded = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let node = self.context.nodes[self.context.pick_node()];
            let first = recorded.len();
            let report = self.caller.describe(node, self.plan.key, &self.plan.name, first).await;
            let Some(report) = report else {
                tokio::time::sleep(RETRY_DELAY).await;
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

    async fn end_program(&self) -> bool {
        for _ in 0..MAX_ATTEMPTS {
            let node = self.context.nodes[self.context.pick_node()];
            if self.caller.end_program(node, self.plan.key, &self.plan.name).await {
                return true;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        false
    }
}

/// Whether a retry can't succeed.
fn is_final(code: u32) -> bool {
    (1000..3000).contains(&code) && code != ResultCode::TenantLimit.number()
        || code == ResultCode::HistoryMismatch.number()
        || code == ResultCode::TurnContentDiffers.number()
        || code == ResultCode::ProgramEnded.number()
}

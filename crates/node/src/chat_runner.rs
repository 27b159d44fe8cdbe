//! Runs a turn from admission to commit.
//!
//! Each turn runs in its own task, independent of the caller's connection: once admitted, it must be
//! committed or abandoned even if the caller disconnects.

mod attempts;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::info;
use sumacdrift_calls::CallMachine;
use sumacdrift_config::{Bundle, Pool, PoolLookup, Tenant};
use sumacdrift_engine_client::{AnswerBuilder, EngineClient, EngineError};
use sumacdrift_gateway::{ChatCall, ChatHead, ChatItem, ChatStream};
use sumacdrift_program::{
    Answer, BeginTurn, Command, FinishTurn, GrantChild, KnownPrefix, RecordedAnswer, Reply, RunTurn,
};
use sumacdrift_scheduling::{FinishedWork, Release, RetryBudget};
use sumacdrift_types::{
    CallId, ChatMessage, EngineName, HistoryMode, PoolName, PrefixDigest, Problem, ProgramId, Ran,
    ResultCode, Timestamp, TokenCount, TurnNumber, Usage,
};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::configuration::ConfigurationStore;
use crate::context::Context;
use crate::engine_router::{EngineRouter, Grant};
use crate::running_calls::RunningCalls;
use crate::shard_client::ShardClient;

/// Items of an answer that are buffered for a slow caller.
const ITEM_QUEUE_CAPACITY: usize = 64;
/// How long the admission and the commit of a turn are retried.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Margin beyond a call's deadline before its program's leader abandons it.
const RUN_TIMEOUT_MARGIN: Duration = Duration::from_secs(20);
/// Maximum output tokens if the caller sets no limit.
const DEFAULT_OUTPUT_TOKENS: TokenCount = 4096;
/// Attempts to place a call whose engine owner is stopping or unreachable.
const MAX_PLACEMENT_ATTEMPTS: u32 = 5;
const PLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum retries that a pool's budget accumulates.
const MAX_RETRY_BUDGET: f64 = 20.0;
/// Program name that engines see for calls without a program.
pub(crate) const SINGLE_CALL_PROGRAM: &str = "single-call";

pub(crate) struct ChatRunner {
    context: Arc<Context>,
    configuration: Arc<ConfigurationStore>,
    shard_client: Arc<ShardClient>,
    engine_router: Arc<EngineRouter>,
    engine_client: EngineClient,
    running_calls: Arc<RunningCalls>,
    retries: Mutex<HashMap<PoolName, RetryBudget>>,
}

/// A turn with the configuration that applies to it.
struct Turn {
    call: ChatCall,
    bundle: Arc<Bundle>,
    tenant: Tenant,
    pool: Pool,
    started: Timestamp,
    deadline: Timestamp,
    cancelled: CancellationToken,
}

/// The result of a turn that an engine completed.
struct CompletedTurn {
    answer: Answer,
    usage: Usage,
    engine: EngineName,
    other_engines: Vec<EngineName>,
    reason: String,
}

/// A turn that could not be completed, with the tokens and engines it used.
struct IncompleteTurn {
    problem: Problem,
    output_tokens: TokenCount,
    engines: Vec<EngineName>,
}

/// State of a turn that is kept across attempts.
struct TurnProgress {
    answer: AnswerBuilder,
    generated: TokenCount,
    usage: Usage,
    tried: Vec<EngineName>,
    machine: CallMachine,
    first_token: Option<Timestamp>,
}

/// Sends the answer to the caller.
struct CallerChannel {
    items: mpsc::Sender<ChatItem>,
    is_disconnected: bool,
}

impl ChatRunner {
    pub(crate) fn new(
        context: Arc<Context>,
        configuration: Arc<ConfigurationStore>,
        shard_client: Arc<ShardClient>,
        engine_router: Arc<EngineRouter>,
        engine_client: EngineClient,
        running_calls: Arc<RunningCalls>,
    ) -> Self {
        Self {
            context,
            configuration,
            shard_client,
            engine_router,
            engine_client,
            running_calls,
            retries: Mutex::default(),
        }
    }

    /// Starts a turn. Resolves once the turn has been admitted, replayed or rejected.
    pub(crate) async fn start(self: Arc<Self>, call: ChatCall) -> Result<ChatStream, Problem> {
        let cancelled = self.running_calls.register(call.call);
        let turn = match self.resolve(call.clone(), cancelled) {
            Ok(turn) => turn,
            Err(problem) => {
                self.running_calls.deregister(call.call);
                return Err(problem);
            }
        };
        let (head_sender, head) = oneshot::channel();
        let runner = Arc::clone(&self);
        tokio::spawn(async move {
            let id = turn.call.call;
            runner.context.metrics.calls_running.inc();
            runner.run(turn, head_sender).await;
            runner.context.metrics.calls_running.dec();
            runner.running_calls.deregister(id);
        });
        let lost = || Problem::unknown(ResultCode::Internal, "the call's task ended without an answer");
        head.await.unwrap_or_else(|_| Err(lost()))
    }

    fn resolve(&self, call: ChatCall, cancelled: CancellationToken) -> Result<Turn, Problem> {
        let missing = || Problem::not_run(ResultCode::NoConfiguration, "no configuration has been applied");
        let bundle = self.configuration.current().ok_or_else(missing)?;
        let tenant = bundle.tenants.get(&call.tenant).cloned();
        let unknown = || Problem::not_run(ResultCode::Unauthenticated, "the tenant was removed");
        let tenant = tenant.ok_or_else(unknown)?;
        let pool = match bundle.pool_for(&tenant, &call.model) {
            PoolLookup::Found(pool) => pool.clone(),
            PoolLookup::UnknownModel => {
                let detail = format!("no pool serves model {}", call.model);
                return Err(Problem::not_run(ResultCode::UnknownModel, detail));
            }
            PoolLookup::Forbidden => {
                let detail = format!("the tenant may not use model {}", call.model);
                return Err(Problem::not_run(ResultCode::Forbidden, detail));
            }
        };
        let started = self.context.now();
        let time_limit = call.deadline.map_or(pool.deadline, |wanted| wanted.min(pool.deadline));
        let deadline = started + time_limit;
        Ok(Turn { call, bundle, tenant, pool, started, deadline, cancelled })
    }

    async fn run(&self, turn: Turn, head: oneshot::Sender<Result<ChatStream, Problem>>) {
        match turn.call.program.clone() {
            Some(program) => self.run_program_turn(turn, program, head).await,
            None => self.run_single_call(turn, head).await,
        }
    }

    /// Runs a call without a program: nothing is recorded, and it is cancelled when its caller disconnects.
    async fn run_single_call(&self, turn: Turn, head: oneshot::Sender<Result<ChatStream, Problem>>) {
        let run = RunTurn {
            turn: TurnNumber(0),
            earlier_messages: Vec::new(),
            output_tokens: turn.call.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
            last_engine: None,
            attained_tokens: 0,
        };
        let chat_head = ChatHead { program: None, turn: run.turn, is_replay: false };
        let Some(mut caller) = send_head(head, chat_head) else { return };
        let stop_with_caller = caller.items.clone();
        let completed = tokio::select! {
            () = stop_with_caller.closed() => return,
            completed = self.run_on_engines(&turn, &run, &mut caller) => completed,
        };
        match completed {
            Ok(completion) => self.send_completion(&turn, &mut caller, completion).await,
            Err(incomplete) => self.send_failure(&turn, &mut caller, incomplete.problem).await,
        }
    }

    async fn run_program_turn(
        &self,
        turn: Turn,
        program: ProgramId,
        mut head: oneshot::Sender<Result<ChatStream, Problem>>,
    ) {
        let begun = tokio::select! {
            () = head.closed() => None,
            begun = self.begin_turn(&turn, &program) => Some(begun),
        };
        let run = match begun {
            None => {
                // The turn may have been admitted in the meantime; abandoning it is safe either way.
                self.abandon(&turn, &program, 0, Vec::new(), "its caller left before it began").await;
                return;
            }
            Some(Err(problem)) => {
                self.reject(&turn, head, problem);
                return;
            }
            Some(Ok(Reply::Replay(recorded))) => {
                self.replay(program, recorded, head).await;
                return;
            }
            Some(Ok(Reply::Run(run))) => *run,
            Some(Ok(Reply::Abandoned)) => {
                let detail = "the call was abandoned before it began";
                self.reject(&turn, head, Problem::not_run(ResultCode::NotCommitted, detail));
                return;
            }
            Some(Ok(_)) => {
                let detail = "unexpected reply from the program's leader";
                self.reject(&turn, head, Problem::not_run(ResultCode::Internal, detail));
                return;
            }
        };
        let chat_head = ChatHead { program: Some(program.clone()), turn: run.turn, is_replay: false };
        let Some(mut caller) = send_head(head, chat_head) else {
            self.abandon(&turn, &program, 0, Vec::new(), "its caller left before it began").await;
            return;
        };
        match self.run_on_engines(&turn, &run, &mut caller).await {
            Ok(completion) => self.commit(&turn, program, completion, &mut caller).await,
            Err(incomplete) => {
                let reason = incomplete.problem.to_string();
                let (tokens, engines) = (incomplete.output_tokens, incomplete.engines);
                self.send_failure(&turn, &mut caller, incomplete.problem).await;
                self.abandon(&turn, &program, tokens, engines, &reason).await;
            }
        }
    }

    /// Asks the program's leader to admit the turn.
    async fn begin_turn(&self, turn: &Turn, program: &ProgramId) -> Result<Reply, Problem> {
        let limits = self.budget_limits(turn, program).await?;
        let wait = self.context.settings.limits.turn_wait;
        let wait_deadline = (self.context.now() + wait).min(turn.deadline);
        let mut known = estimate_known_prefix(&turn.call);
        loop {
            let (messages, known_prefix) = split_known(&turn.call.messages, known);
            let begin = BeginTurn {
                call: turn.call.call,
                program: program.clone(),
                tenant: turn.call.tenant.clone(),
                parent: turn.call.parent.clone(),
                turn: turn.call.turn,
                key: turn.call.key.clone(),
                mode: turn.call.mode,
                known_prefix,
                messages,
                max_output_tokens: turn.call.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
                limits,
                runner: self.context.runner(),
                wait_deadline,
                run_timeout: turn.deadline.since(self.context.now()) + RUN_TIMEOUT_MARGIN,
            };
            let command = Command::BeginTurn(Box::new(begin));
            let deadline = wait_deadline + COMMIT_TIMEOUT;
            let call = turn.call.call;
            match self.shard_client.send_program_command(program, call, command, wait, deadline).await? {
                Reply::PrefixMismatch if known > 0 => known = 0,
                Reply::Rejected(problem) => return Err(problem),
                reply => return Ok(reply),
            }
        }
    }

    /// Budget limits in case the turn creates its program. A sub-agent's limits are granted from its parent's
    /// budget.
    async fn budget_limits(
        &self,
        turn: &Turn,
        program: &ProgramId,
    ) -> Result<sumacdrift_program::BudgetLimits, Problem> {
        let is_first = turn.call.turn.is_none_or(|number| number == TurnNumber(0));
        let Some(parent) = turn.call.parent.as_ref().filter(|_| is_first) else {
            return Ok(turn.tenant.budget);
        };
        loop {
            let call = CallId::random(&mut rand::rng());
            let grant = GrantChild {
                call,
                parent: parent.clone(),
                child: program.clone(),
                tenant: turn.call.tenant.clone(),
                share_percent: turn.bundle.sub_agent_share_percent,
            };
            let command = Command::GrantChild(grant);
            let deadline = turn.deadline;
            match self
                .shard_client
                .send_program_command(parent, call, command, Duration::ZERO, deadline)
                .await?
            {
                Reply::Granted(limits) => return Ok(limits),
                Reply::Rejected(problem) => match problem.retry_after {
                    Some(delay) if self.context.now() + delay < turn.deadline => {
                        tokio::time::sleep(delay).await;
                    }
                    _ => return Err(problem),
                },
                _ => return Err(Problem::not_run(ResultCode::Internal, "unexpected reply from the parent")),
            }
        }
    }

    /// Commits the answer to the history before the end of the stream is sent to the caller.
    async fn commit(
        &self,
        turn: &Turn,
        program: ProgramId,
        completion: CompletedTurn,
        caller: &mut CallerChannel,
    ) {
        let finish = FinishTurn {
            program: program.clone(),
            call: turn.call.call,
            answer: completion.answer.clone(),
            usage: completion.usage,
            engine: completion.engine.clone(),
            other_engines: completion.other_engines.clone(),
            reason: completion.reason.clone(),
        };
        let command = Command::FinishTurn(Box::new(finish));
        let deadline = self.context.now() + COMMIT_TIMEOUT;
        let call = turn.call.call;
        let reply =
            self.shard_client.send_program_command(&program, call, command, Duration::ZERO, deadline).await;
        match reply {
            Ok(Reply::Done) => self.send_completion(turn, caller, completion).await,
            // The turn ran, even though the leader refused to record it.
            Ok(Reply::Rejected(problem)) => self.send_failure(turn, caller, problem.with_ran(Ran::Yes)).await,
            Ok(_) | Err(_) => {
                let detail = "the answer could not be committed to the program's history";
                let problem = Problem::unknown(ResultCode::NotCommitted, detail)
                    .with_retry_after(Duration::from_secs(1));
                self.send_failure(turn, caller, problem).await;
            }
        }
    }

    async fn abandon(
        &self,
        turn: &Turn,
        program: &ProgramId,
        output_tokens: TokenCount,
        engines: Vec<EngineName>,
        reason: &str,
    ) {
        let command = Command::AbandonTurn {
            program: program.clone(),
            call: turn.call.call,
            output_tokens,
            engines,
            reason: reason.to_owned(),
        };
        self.shard_client.send_follow_up(program, turn.call.call, command).await;
    }

    async fn replay(
        &self,
        program: ProgramId,
        recorded: RecordedAnswer,
        head: oneshot::Sender<Result<ChatStream, Problem>>,
    ) {
        self.context.metrics.replays.inc();
        let chat_head = ChatHead { program: Some(program), turn: recorded.turn, is_replay: true };
        let Some(mut caller) = send_head(head, chat_head) else { return };
        let timeout = self.context.settings.limits.body_timeout;
        let delta = message_as_delta(&recorded.answer.message);
        caller.send(ChatItem::Deltas(vec![delta]), timeout).await;
        caller.send(ChatItem::Message(recorded.answer.message), timeout).await;
        let reason = recorded.answer.finish_reason;
        caller.send(ChatItem::Finished { reason, usage: recorded.usage }, timeout).await;
    }

    async fn send_completion(&self, turn: &Turn, caller: &mut CallerChannel, completion: CompletedTurn) {
        let metrics = &self.context.metrics;
        metrics.record_turn(self.context.now().since(turn.started));
        metrics.output_tokens.inc_by(completion.usage.output_tokens);
        metrics.prompt_tokens.inc_by(completion.usage.prompt_tokens);
        metrics.cached_tokens.inc_by(completion.usage.cached_tokens);
        let timeout = turn.pool.stall_timeout;
        caller.send(ChatItem::Message(completion.answer.message), timeout).await;
        let reason = completion.answer.finish_reason;
        caller.send(ChatItem::Finished { reason, usage: completion.usage }, timeout).await;
    }

    async fn send_failure(&self, turn: &Turn, caller: &mut CallerChannel, problem: Problem) {
        self.record_problem(turn, &problem);
        caller.send(ChatItem::Failed(problem), turn.pool.stall_timeout).await;
    }

    fn reject(&self, turn: &Turn, head: oneshot::Sender<Result<ChatStream, Problem>>, problem: Problem) {
        self.record_problem(turn, &problem);
        let _ = head.send(Err(problem));
    }

    fn record_problem(&self, turn: &Turn, problem: &Problem) {
        self.context.metrics.record_problem(problem);
        info!(self.context.logger, "call failed"; "call" => %turn.call.call,
            "tenant" => %turn.call.tenant, "code" => problem.code.number(), "ran" => %problem.ran,
            "detail" => &problem.detail);
    }
}

impl CallerChannel {
    /// Sends an item. A caller that doesn't take it within the timeout is treated as disconnected.
    async fn send(&mut self, item: ChatItem, timeout: Duration) {
        if self.is_disconnected {
            return;
        }
        let sent = tokio::time::timeout(timeout, self.items.send(item)).await;
        self.is_disconnected = !matches!(sent, Ok(Ok(())));
    }
}

/// Releases a grant when the attempt ends or is cancelled.
struct ReleaseOnDrop<'a> {
    runner: &'a ChatRunner,
    grant: &'a Grant,
    call: CallId,
    finished: Option<FinishedWork>,
    is_engine_fault: bool,
}

impl<'a> ReleaseOnDrop<'a> {
    fn new(runner: &'a ChatRunner, grant: &'a Grant, call: CallId) -> Self {
        Self { runner, grant, call, finished: None, is_engine_fault: false }
    }

    fn record_error(&mut self, error: &EngineError) {
        self.is_engine_fault = error.is_engine_fault();
    }
}

impl Drop for ReleaseOnDrop<'_> {
    fn drop(&mut self) {
        let release = Release {
            call: self.call,
            finished: self.finished.take(),
            is_engine_fault: self.is_engine_fault,
        };
        self.runner.engine_router.release(self.grant, release);
    }
}

fn send_head(
    head: oneshot::Sender<Result<ChatStream, Problem>>,
    chat_head: ChatHead,
) -> Option<CallerChannel> {
    let (items, receiver) = mpsc::channel(ITEM_QUEUE_CAPACITY);
    let stream = ChatStream { head: chat_head, items: receiver };
    head.send(Ok(stream)).ok()?;
    Some(CallerChannel { items, is_disconnected: false })
}

fn engine_program(turn: &Turn) -> ProgramId {
    let single = || {
        ProgramId::new(SINGLE_CALL_PROGRAM)
            .unwrap_or_else(|_| unreachable!("the constant is a valid program id"))
    };
    turn.call.program.clone().unwrap_or_else(single)
}

/// Number of leading messages that the program's leader probably has: all up to the last assistant message.
fn estimate_known_prefix(call: &ChatCall) -> usize {
    if call.mode == HistoryMode::Append {
        return 0;
    }
    let is_answer = |message: &ChatMessage| message.canonical().contains("\"role\":\"assistant\"");
    call.messages.iter().rposition(is_answer).map_or(0, |position| position + 1)
}

fn split_known(messages: &[ChatMessage], known: usize) -> (Vec<ChatMessage>, KnownPrefix) {
    let (prefix, rest) = messages.split_at(known);
    let digest =
        prefix.iter().fold(PrefixDigest::default(), |digest, message| digest.extend(message.digest()));
    (rest.to_vec(), KnownPrefix { length: known, digest })
}

/// Returns a recorded message as the value of a `delta` field.
fn message_as_delta(message: &ChatMessage) -> String {
    message.canonical().to_owned()
}

/// Whether the call wasn't enqueued because the engine's owner is stopping or unreachable.
fn is_owner_unavailable(problem: &Problem) -> bool {
    matches!(problem.code, ResultCode::PeerUnreachable | ResultCode::NodeStopping)
}

fn cancelled_problem() -> Problem {
    Problem::unknown(ResultCode::Cancelled, "the program was ended while the call was in flight")
}

fn deadline_problem() -> Problem {
    Problem::unknown(ResultCode::DeadlineExceeded, "the deadline passed before the answer was complete")
}

//! Runs a turn from admission to commit.
//!
//! A turn runs in a task of its own, apart from the caller's connection: what was admitted must be finished or
//! abandoned whatever happens to the caller.

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

use crate::calls::RunningCalls;
use crate::configuration::ConfigurationStore;
use crate::context::Context;
use crate::engine_router::{EngineRouter, Grant};
use crate::shard_client::ShardClient;

/// Pieces of an answer that may wait for the caller.
const ITEM_QUEUE: usize = 64;
/// How long a command that must not get lost is tried.
const COMMIT_TIME: Duration = Duration::from_secs(15);
/// Added to a call's deadline before its program's leader gives it up.
const GIVE_UP_SLACK: Duration = Duration::from_secs(20);
/// Cap on generated tokens where the caller names none.
const DEFAULT_OUTPUT_TOKENS: TokenCount = 4096;
/// How often a call is placed whose engine's owner stops or dies.
const PLACE_TRIES: u32 = 5;
/// Pause between two tries to place a call.
const PLACE_PAUSE: Duration = Duration::from_millis(300);
/// Retries that may be saved up.
const RETRY_BUDGET_MAXIMUM: f64 = 20.0;
/// Name under which engines see calls that belong to no program.
pub(crate) const NO_PROGRAM: &str = "single-call";

/// Runs turns.
pub(crate) struct ChatRunner {
    context: Arc<Context>,
    configuration: Arc<ConfigurationStore>,
    client: Arc<ShardClient>,
    router: Arc<EngineRouter>,
    engines: EngineClient,
    calls: Arc<RunningCalls>,
    retries: Mutex<HashMap<PoolName, RetryBudget>>,
}

/// One turn with everything that was looked up for it.
struct Turn {
    call: ChatCall,
    bundle: Arc<Bundle>,
    tenant: Tenant,
    pool: Pool,
    started: Timestamp,
    deadline: Timestamp,
    cancelled: CancellationToken,
}

/// What an engine made of a turn.
struct Completion {
    answer: Answer,
    usage: Usage,
    engine: EngineName,
    other_engines: Vec<EngineName>,
    reason: String,
}

/// How far a turn came that can't be completed.
struct Incomplete {
    problem: Problem,
    output_tokens: TokenCount,
    engines: Vec<EngineName>,
}

/// The state of a turn over several attempts.
struct Progress {
    answer: AnswerBuilder,
    generated: TokenCount,
    usage: Usage,
    tried: Vec<EngineName>,
    machine: CallMachine,
    first_token: Option<Timestamp>,
}

/// The caller's end of a turn.
struct CallerLink {
    items: mpsc::Sender<ChatItem>,
    is_gone: bool,
}

impl ChatRunner {
    pub(crate) fn new(
        context: Arc<Context>,
        configuration: Arc<ConfigurationStore>,
        client: Arc<ShardClient>,
        router: Arc<EngineRouter>,
        engines: EngineClient,
        calls: Arc<RunningCalls>,
    ) -> Self {
        Self { context, configuration, client, router, engines, calls, retries: Mutex::default() }
    }

    /// Begins a turn; resolves when it is known that it runs or ran.
    pub(crate) async fn start(self: Arc<Self>, call: ChatCall) -> Result<ChatStream, Problem> {
        let cancelled = self.calls.begin(call.call);
        let turn = match self.look_up(call.clone(), cancelled) {
            Ok(turn) => turn,
            Err(problem) => {
                self.calls.end(call.call);
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
            runner.calls.end(id);
        });
        let lost = || Problem::unknown(ResultCode::Internal, "the call's task ended without an answer");
        head.await.unwrap_or_else(|_| Err(lost()))
    }

    fn look_up(&self, call: ChatCall, cancelled: CancellationToken) -> Result<Turn, Problem> {
        let missing = || Problem::not_run(ResultCode::NoConfiguration, "no configuration is in force");
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
        let time = call.deadline.map_or(pool.deadline, |wanted| wanted.min(pool.deadline));
        let deadline = started + time;
        Ok(Turn { call, bundle, tenant, pool, started, deadline, cancelled })
    }

    async fn run(&self, turn: Turn, head: oneshot::Sender<Result<ChatStream, Problem>>) {
        match turn.call.program.clone() {
            Some(program) => self.run_program_turn(turn, program, head).await,
            None => self.run_single_call(turn, head).await,
        }
    }

    /// A call without program: nothing is recorded, and it ends when its caller leaves.
    async fn run_single_call(&self, turn: Turn, head: oneshot::Sender<Result<ChatStream, Problem>>) {
        let run = RunTurn {
            turn: TurnNumber(0),
            earlier_messages: Vec::new(),
            output_tokens: turn.call.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
            last_engine: None,
            attained_tokens: 0,
        };
        let chat_head = ChatHead { program: None, turn: run.turn, is_replay: false };
        let Some(mut link) = send_head(head, chat_head) else { return };
        let stop_with_caller = link.items.clone();
        let completed = tokio::select! {
            () = stop_with_caller.closed() => return,
            completed = self.complete(&turn, &run, &mut link) => completed,
        };
        match completed {
            Ok(completion) => self.finish_link(&turn, &mut link, completion).await,
            Err(incomplete) => self.fail_link(&turn, &mut link, incomplete.problem).await,
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
            begun = self.begin(&turn, &program) => Some(begun),
        };
        let run = match begun {
            None => {
                // Whether the turn was admitted in the meantime is not known here; this settles it.
                self.abandon(&turn, &program, 0, Vec::new(), "its caller left before it began").await;
                return;
            }
            Some(Err(problem)) => {
                self.refuse(&turn, head, problem);
                return;
            }
            Some(Ok(Reply::Replay(recorded))) => {
                self.replay(program, recorded, head).await;
                return;
            }
            Some(Ok(Reply::Run(run))) => *run,
            Some(Ok(Reply::Abandoned)) => {
                let detail = "the call was given up before it began";
                self.refuse(&turn, head, Problem::not_run(ResultCode::NotCommitted, detail));
                return;
            }
            Some(Ok(_)) => {
                let detail = "the program's leader gave an answer that does not fit";
                self.refuse(&turn, head, Problem::not_run(ResultCode::Internal, detail));
                return;
            }
        };
        let chat_head = ChatHead { program: Some(program.clone()), turn: run.turn, is_replay: false };
        let Some(mut link) = send_head(head, chat_head) else {
            self.abandon(&turn, &program, 0, Vec::new(), "its caller left before it began").await;
            return;
        };
        match self.complete(&turn, &run, &mut link).await {
            Ok(completion) => self.commit(&turn, program, completion, &mut link).await,
            Err(incomplete) => {
                let reason = incomplete.problem.to_string();
                let (tokens, engines) = (incomplete.output_tokens, incomplete.engines);
                self.fail_link(&turn, &mut link, incomplete.problem).await;
                self.abandon(&turn, &program, tokens, engines, &reason).await;
            }
        }
    }

    /// Asks the program's leader to admit the turn.
    async fn begin(&self, turn: &Turn, program: &ProgramId) -> Result<Reply, Problem> {
        let limits = self.limits(turn, program).await?;
        let wait = self.context.settings.limits.turn_wait;
        let wait_until = (self.context.now() + wait).min(turn.deadline);
        let mut known = known_prefix_length(&turn.call);
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
                wanted_output: turn.call.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
                limits,
                runner: self.context.runner(),
                wait_until,
                run_limit: turn.deadline.since(self.context.now()) + GIVE_UP_SLACK,
            };
            let command = Command::BeginTurn(Box::new(begin));
            let give_up = wait_until + COMMIT_TIME;
            let call = turn.call.call;
            match self.client.program_command(program, call, command, wait, give_up).await? {
                Reply::SendAllMessages if known > 0 => known = 0,
                Reply::Refused(problem) => return Err(problem),
                reply => return Ok(reply),
            }
        }
    }

    /// The limits of a program that this turn may create; a sub-agent's come out of its parent's.
    async fn limits(
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
            let give_up = turn.deadline;
            match self.client.program_command(parent, call, command, Duration::ZERO, give_up).await? {
                Reply::Granted(limits) => return Ok(limits),
                Reply::Refused(problem) => match problem.retry_after {
                    Some(delay) if self.context.now() + delay < turn.deadline => {
                        tokio::time::sleep(delay).await;
                    }
                    _ => return Err(problem),
                },
                _ => return Err(Problem::not_run(ResultCode::Internal, "the parent's answer does not fit")),
            }
        }
    }

    /// Commits the answer to the history; only then does the caller see the end.
    async fn commit(&self, turn: &Turn, program: ProgramId, completion: Completion, link: &mut CallerLink) {
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
        let give_up = self.context.now() + COMMIT_TIME;
        let call = turn.call.call;
        let reply = self.client.program_command(&program, call, command, Duration::ZERO, give_up).await;
        match reply {
            Ok(Reply::Done) => self.finish_link(turn, link, completion).await,
            // The turn did run, whatever its leader says of the request to record it.
            Ok(Reply::Refused(problem)) => self.fail_link(turn, link, problem.with_ran(Ran::Yes)).await,
            Ok(_) | Err(_) => {
                let detail = "the answer could not be committed to the program's history";
                let problem = Problem::unknown(ResultCode::NotCommitted, detail)
                    .with_retry_after(Duration::from_secs(1));
                self.fail_link(turn, link, problem).await;
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
        self.client.follow_up(program, turn.call.call, command).await;
    }

    async fn replay(
        &self,
        program: ProgramId,
        recorded: RecordedAnswer,
        head: oneshot::Sender<Result<ChatStream, Problem>>,
    ) {
        self.context.metrics.replays.inc();
        let chat_head = ChatHead { program: Some(program), turn: recorded.turn, is_replay: true };
        let Some(mut link) = send_head(head, chat_head) else { return };
        let timeout = self.context.settings.limits.body_timeout;
        let delta = replay_delta(&recorded.answer.message);
        link.send(ChatItem::Deltas(vec![delta]), timeout).await;
        link.send(ChatItem::Message(recorded.answer.message), timeout).await;
        let reason = recorded.answer.finish_reason;
        link.send(ChatItem::Finished { reason, usage: recorded.usage }, timeout).await;
    }

    async fn finish_link(&self, turn: &Turn, link: &mut CallerLink, completion: Completion) {
        let metrics = &self.context.metrics;
        metrics.turn_finished(self.context.now().since(turn.started));
        metrics.output_tokens.inc_by(completion.usage.output_tokens);
        metrics.prompt_tokens.inc_by(completion.usage.prompt_tokens);
        metrics.cached_tokens.inc_by(completion.usage.cached_tokens);
        let timeout = turn.pool.stall_timeout;
        link.send(ChatItem::Message(completion.answer.message), timeout).await;
        let reason = completion.answer.finish_reason;
        link.send(ChatItem::Finished { reason, usage: completion.usage }, timeout).await;
    }

    async fn fail_link(&self, turn: &Turn, link: &mut CallerLink, problem: Problem) {
        self.note_problem(turn, &problem);
        link.send(ChatItem::Failed(problem), turn.pool.stall_timeout).await;
    }

    fn refuse(&self, turn: &Turn, head: oneshot::Sender<Result<ChatStream, Problem>>, problem: Problem) {
        self.note_problem(turn, &problem);
        let _ = head.send(Err(problem));
    }

    fn note_problem(&self, turn: &Turn, problem: &Problem) {
        self.context.metrics.problem(problem);
        info!(self.context.logger, "call failed"; "call" => %turn.call.call,
            "tenant" => %turn.call.tenant, "code" => problem.code.number(), "ran" => %problem.ran,
            "detail" => &problem.detail);
    }
}

impl CallerLink {
    /// Passes a piece on. A caller that takes nothing for too long counts as gone.
    async fn send(&mut self, item: ChatItem, timeout: Duration) {
        if self.is_gone {
            return;
        }
        let sent = tokio::time::timeout(timeout, self.items.send(item)).await;
        self.is_gone = !matches!(sent, Ok(Ok(())));
    }
}

/// Releases a grant when the attempt ends, also where it is cancelled in the middle.
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

    fn fault(&mut self, error: &EngineError) {
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
        self.runner.router.release(self.grant, release);
    }
}

fn send_head(head: oneshot::Sender<Result<ChatStream, Problem>>, chat_head: ChatHead) -> Option<CallerLink> {
    let (items, receiver) = mpsc::channel(ITEM_QUEUE);
    let stream = ChatStream { head: chat_head, items: receiver };
    head.send(Ok(stream)).ok()?;
    Some(CallerLink { items, is_gone: false })
}

/// The program under which engines keep a call's context.
fn engine_program(turn: &Turn) -> ProgramId {
    let single = || ProgramId::new(NO_PROGRAM).unwrap_or_else(|_| unreachable!("a valid constant"));
    turn.call.program.clone().unwrap_or_else(single)
}

/// Leading messages that the program's leader is likely to have: everything up to the last answer.
fn known_prefix_length(call: &ChatCall) -> usize {
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

/// A recorded message as one `delta` member.
fn replay_delta(message: &ChatMessage) -> String {
    message.canonical().to_owned()
}

/// Whether a call could not be queued because the node that queues for the engine stops or died.
fn is_lost_owner(problem: &Problem) -> bool {
    matches!(problem.code, ResultCode::PeerUnreachable | ResultCode::NodeStopping)
}

fn cancelled() -> Problem {
    Problem::unknown(ResultCode::Cancelled, "the program was ended while the call was under way")
}

fn deadline_exceeded() -> Problem {
    Problem::unknown(ResultCode::DeadlineExceeded, "the deadline passed before the answer was complete")
}

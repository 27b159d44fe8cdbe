//! Runs a turn from admission to commit.
//!
//! A turn runs in a task of its own, apart from the caller's connection: what was admitted must be finished or
//! abandoned whatever happens to the caller.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::{debug, info};
use sumacdrift_calls::{CallMachine, Next};
use sumacdrift_config::{Bundle, Pool, PoolLookup, Tenant};
use sumacdrift_engine_client::{
    AnswerBuilder, EngineClient, EngineError, EngineRequest, EngineStream, StreamItem,
};
use sumacdrift_gateway::{ChatCall, ChatHead, ChatItem, ChatStream};
use sumacdrift_program::{
    Answer, BeginTurn, Command, FinishTurn, GrantChild, KnownPrefix, RecordedAnswer, Reply, RunTurn,
};
use sumacdrift_scheduling::{ContextPrefix, FinishedWork, Release, RetryBudget, Work, context_prefixes};
use sumacdrift_types::{
    CallId, ChatMessage, EngineName, HistoryMode, PoolName, PrefixDigest, Problem, ProgramId, Ran,
    ResultCode, Timestamp, TokenCount, TurnNumber, Usage,
};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::calls::RunningCalls;
use crate::chat_attempts::{engine_id, failure_of, rules_of, to_problem};
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

    /// Runs the turn on engines until one completes it.
    async fn complete(
        &self,
        turn: &Turn,
        run: &RunTurn,
        link: &mut CallerLink,
    ) -> Result<Completion, Incomplete> {
        let mut progress = Progress {
            answer: AnswerBuilder::default(),
            generated: 0,
            usage: Usage::default(),
            tried: Vec::new(),
            machine: CallMachine::new(rules_of(turn.bundle.retry.max_attempts), None, self.context.now()),
            first_token: None,
        };
        let attempts = self.attempts(turn, run, link, &mut progress);
        let outcome = tokio::select! {
            () = turn.cancelled.cancelled() => Err(cancelled()),
            outcome = tokio::time::timeout_at(self.context.clock.instant(turn.deadline), attempts) => {
                outcome.unwrap_or_else(|_| Err(deadline_exceeded()))
            }
        };
        match outcome {
            Ok((grant, finish_reason)) => {
                let mut other_engines = progress.tried;
                other_engines.retain(|engine| *engine != grant.engine);
                Ok(Completion {
                    answer: Answer { message: progress.answer.message(), finish_reason },
                    usage: progress.usage,
                    engine: grant.engine,
                    other_engines,
                    reason: grant.reason,
                })
            }
            Err(problem) => Err(Incomplete {
                problem: problem.with_ran(progress.machine.ran()),
                output_tokens: progress.generated,
                engines: progress.tried,
            }),
        }
    }

    async fn attempts(
        &self,
        turn: &Turn,
        run: &RunTurn,
        link: &mut CallerLink,
        progress: &mut Progress,
    ) -> Result<(Grant, String), Problem> {
        let messages: Vec<ChatMessage> =
            run.earlier_messages.iter().chain(&turn.call.messages).cloned().collect();
        let prefixes = context_prefixes(&messages);
        let mut request = self.engine_request(turn, run, messages);
        let mut failed: Vec<EngineName> = Vec::new();
        self.first_attempt(turn);
        for attempt in 1.. {
            let work = self.work(turn, run, &prefixes);
            let preferred: Vec<EngineName> = run.last_engine.iter().cloned().collect();
            let grant = self.place(turn, &work, &preferred, &failed).await?;
            debug!(self.context.logger, "call is placed"; "call" => %turn.call.call,
                "engine" => %grant.engine, "attempt" => attempt, "reason" => &grant.reason);
            request.max_tokens = run.output_tokens.saturating_sub(progress.generated).max(1);
            request.partial_answer = progress.answer.text().to_owned();
            let error = match self.attempt(turn, &grant, &request, link, progress, &prefixes).await {
                Ok(finish_reason) => return Ok((grant, finish_reason)),
                Err(error) => error,
            };
            info!(self.context.logger, "engine failed a call"; "call" => %turn.call.call,
                "engine" => %grant.engine, "attempt" => attempt, "error" => error.to_string());
            failed.push(grant.engine.clone());
            self.may_retry(turn, &grant.engine, progress, &error)?;
        }
        Err(Problem::unknown(ResultCode::Internal, "attempts never end here"))
    }

    /// Finds an engine. Where the node that queues for it stops or dies, another one takes over within moments;
    /// nothing was sent, so the call is simply placed again.
    async fn place(
        &self,
        turn: &Turn,
        work: &Work,
        preferred: &[EngineName],
        failed: &[EngineName],
    ) -> Result<Grant, Problem> {
        let mut tries = 1;
        loop {
            let queue_time = turn.deadline.since(self.context.now());
            let placed = self.router.place(&turn.pool, work, preferred, failed, queue_time).await;
            match placed {
                Err(problem) if is_lost_owner(&problem) && tries < PLACE_TRIES => tries += 1,
                outcome => return outcome,
            }
            tokio::time::sleep(PLACE_PAUSE).await;
        }
    }

    fn engine_request(&self, turn: &Turn, run: &RunTurn, messages: Vec<ChatMessage>) -> EngineRequest {
        EngineRequest {
            call: turn.call.call,
            program: engine_program(turn),
            messages,
            parameters: turn.call.parameters.clone(),
            max_tokens: run.output_tokens,
            priority: turn.bundle.rank_of(&turn.tenant),
            partial_answer: String::new(),
        }
    }

    fn work(&self, turn: &Turn, run: &RunTurn, prefixes: &[ContextPrefix]) -> Work {
        Work {
            call: turn.call.call,
            program: engine_program(turn),
            tenant: turn.call.tenant.clone(),
            rank: turn.bundle.rank_of(&turn.tenant),
            prefixes: prefixes.to_vec(),
            max_output_tokens: run.output_tokens,
            attained_tokens: run.attained_tokens,
            deadline: Some(turn.deadline),
        }
    }

    /// One attempt at one engine. The grant is released however the attempt ends.
    async fn attempt(
        &self,
        turn: &Turn,
        grant: &Grant,
        request: &EngineRequest,
        link: &mut CallerLink,
        progress: &mut Progress,
        prefixes: &[ContextPrefix],
    ) -> Result<String, EngineError> {
        let mut release = ReleaseOnDrop::new(self, grant, turn.call.call);
        let sent = self.context.now();
        let generated_before = progress.generated;
        // From here on the engine may have seen the request, unless the connection could not be opened.
        progress.machine.sent(&engine_id(&grant.engine));
        progress.tried.push(grant.engine.clone());
        let started = self.engines.start(grant.address, request, turn.pool.stall_timeout).await;
        let mut stream = match started {
            Ok(stream) => stream,
            Err(error) => {
                if matches!(error, EngineError::Unreachable(_)) {
                    progress.tried.pop();
                }
                release.fault(&error);
                return Err(error);
            }
        };
        let outcome = self.read_stream(turn, &mut stream, link, progress).await;
        let finish_reason = match outcome {
            Ok(finish_reason) => finish_reason,
            Err(error) => {
                release.fault(&error);
                return Err(error);
            }
        };
        self.note_finished(&mut release, progress, prefixes, sent);
        progress.usage.output_tokens += generated_before;
        progress.usage.prompt_tokens = progress.usage.prompt_tokens.saturating_sub(generated_before);
        Ok(finish_reason)
    }

    fn note_finished(
        &self,
        release: &mut ReleaseOnDrop<'_>,
        progress: &Progress,
        prefixes: &[ContextPrefix],
        sent: Timestamp,
    ) {
        let now = self.context.now();
        let first = progress.first_token.unwrap_or(now).max(sent);
        let message = progress.answer.message();
        let end = prefixes.last().map(|prompt| ContextPrefix {
            digest: prompt.digest.extend(message.digest()),
            tokens: prompt.tokens + message.estimated_tokens(),
        });
        release.finished = Some(FinishedWork {
            usage: progress.usage,
            first_token: first.since(sent),
            decoding: now.since(first),
            end,
        });
    }

    async fn read_stream(
        &self,
        turn: &Turn,
        stream: &mut EngineStream,
        link: &mut CallerLink,
        progress: &mut Progress,
    ) -> Result<String, EngineError> {
        loop {
            let items = stream.next_items().await?;
            if items.is_empty() {
                let reason = progress.answer.finish_reason().map(str::to_owned);
                return reason.ok_or(EngineError::Garbage);
            }
            let mut deltas = Vec::with_capacity(items.len());
            for item in items {
                match item {
                    StreamItem::Delta { raw, text, tool_calls } => {
                        progress.answer.push_text(&text);
                        progress.answer.push_tool_calls(&tool_calls);
                        progress.generated += 1;
                        deltas.push(raw);
                    }
                    StreamItem::Finished(reason) => progress.answer.finish(&reason),
                    StreamItem::Usage(usage) => progress.usage = usage,
                }
            }
            if !deltas.is_empty() {
                self.note_first_token(turn, progress);
                link.send(ChatItem::Deltas(deltas), turn.pool.stall_timeout).await;
            }
        }
    }

    fn note_first_token(&self, turn: &Turn, progress: &mut Progress) {
        if progress.first_token.is_none() {
            let now = self.context.now();
            progress.first_token = Some(now);
            let seconds = now.since(turn.started).as_secs_f64();
            self.context.metrics.first_token_seconds.observe(seconds);
        }
    }

    fn first_attempt(&self, turn: &Turn) {
        self.with_retry_budget(turn, RetryBudget::attempted);
    }

    fn may_retry(
        &self,
        turn: &Turn,
        engine: &EngineName,
        progress: &mut Progress,
        error: &EngineError,
    ) -> Result<(), Problem> {
        let problem = to_problem(error);
        if !error.is_engine_fault() || !progress.answer.is_resumable() {
            progress.machine.forbid_resumption();
        }
        let now = self.context.now();
        let next = progress.machine.failed(&engine_id(engine), failure_of(error), now);
        if !matches!(next, Next::Try { .. }) {
            return Err(problem);
        }
        if !self.with_retry_budget(turn, |budget| budget.try_retry(now)) {
            let detail = format!("{problem}; the retry budget of pool {} is used up", turn.pool.name);
            return Err(Problem::unknown(ResultCode::RetryBudgetExhausted, detail)
                .with_retry_after(Duration::from_secs(1)));
        }
        self.context.metrics.retries.inc();
        Ok(())
    }

    fn with_retry_budget<T>(&self, turn: &Turn, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let retry = turn.bundle.retry;
        let mut budgets = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets
            .entry(turn.pool.name.clone())
            .or_insert_with(|| RetryBudget::new(retry.ratio, retry.minimum_per_second, RETRY_BUDGET_MAXIMUM));
        change(budget)
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

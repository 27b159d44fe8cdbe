//! Runs a turn on engines: selects an engine, sends the turn, reads the stream and retries on failure.

use std::sync::PoisonError;
use std::time::Duration;

use slog::{debug, info};
use sumacdrift_calls::{CallMachine, Next};
use sumacdrift_engine_client::{AnswerBuilder, EngineError, EngineRequest, EngineStream, StreamItem};
use sumacdrift_gateway::ChatItem;
use sumacdrift_program::{Answer, RunTurn};
use sumacdrift_scheduling::{ContextPrefix, EngineWork, FinishedWork, RetryBudget, context_prefixes};
use sumacdrift_types::{ChatMessage, EngineName, Problem, ResultCode, Timestamp, Usage};

use super::{
    CallerChannel, ChatRunner, CompletedTurn, IncompleteTurn, MAX_PLACEMENT_ATTEMPTS, MAX_RETRY_BUDGET,
    PLACEMENT_RETRY_DELAY, ReleaseOnDrop, Turn, TurnProgress, cancelled_problem, deadline_problem,
    engine_program, is_owner_unavailable,
};
use crate::attempt_outcome::{call_rules, classify_failure, engine_id, to_problem};
use crate::engine_router::Grant;

impl ChatRunner {
    /// Runs the turn on engines until one completes it, the turn is cancelled or its deadline passes.
    pub(super) async fn run_on_engines(
        &self,
        turn: &Turn,
        run: &RunTurn,
        caller: &mut CallerChannel,
    ) -> Result<CompletedTurn, IncompleteTurn> {
        let mut progress = TurnProgress {
            answer: AnswerBuilder::default(),
            generated: 0,
            usage: Usage::default(),
            tried: Vec::new(),
            machine: CallMachine::new(call_rules(turn.bundle.retry.max_attempts), None, self.context.now()),
            first_token: None,
        };
        let attempts = self.run_attempts(turn, run, caller, &mut progress);
        let outcome = tokio::select! {
            () = turn.cancelled.cancelled() => Err(cancelled_problem()),
            outcome = tokio::time::timeout_at(self.context.clock.instant(turn.deadline), attempts) => {
                outcome.unwrap_or_else(|_| Err(deadline_problem()))
            }
        };
        match outcome {
            Ok((grant, finish_reason)) => {
                let mut other_engines = progress.tried;
                other_engines.retain(|engine| *engine != grant.engine);
                Ok(CompletedTurn {
                    answer: Answer { message: progress.answer.message(), finish_reason },
                    usage: progress.usage,
                    engine: grant.engine,
                    other_engines,
                    reason: grant.reason,
                })
            }
            Err(problem) => Err(IncompleteTurn {
                problem: problem.with_ran(progress.machine.ran()),
                output_tokens: progress.generated,
                engines: progress.tried,
            }),
        }
    }

    pub(super) async fn run_attempts(
        &self,
        turn: &Turn,
        run: &RunTurn,
        caller: &mut CallerChannel,
        progress: &mut TurnProgress,
    ) -> Result<(Grant, String), Problem> {
        let messages: Vec<ChatMessage> =
            run.earlier_messages.iter().chain(&turn.call.messages).cloned().collect();
        let prefixes = context_prefixes(&messages);
        let mut request = self.build_engine_request(turn, run, messages);
        let mut failed: Vec<EngineName> = Vec::new();
        self.record_first_attempt(turn);
        for attempt in 1.. {
            let work = self.build_work(turn, run, &prefixes);
            let preferred: Vec<EngineName> = run.last_engine.iter().cloned().collect();
            let grant = self.place(turn, &work, &preferred, &failed).await?;
            debug!(self.context.logger, "call placed"; "call" => %turn.call.call,
                "engine" => %grant.engine, "attempt" => attempt, "reason" => &grant.reason);
            request.max_tokens = run.output_tokens.saturating_sub(progress.generated).max(1);
            request.partial_answer = progress.answer.text().to_owned();
            let error = match self.run_attempt(turn, &grant, &request, caller, progress, &prefixes).await {
                Ok(finish_reason) => return Ok((grant, finish_reason)),
                Err(error) => error,
            };
            info!(self.context.logger, "engine failed a call"; "call" => %turn.call.call,
                "engine" => %grant.engine, "attempt" => attempt, "error" => error.to_string());
            failed.push(grant.engine.clone());
            self.check_retry(turn, &grant.engine, progress, &error)?;
        }
        Err(Problem::unknown(ResultCode::Internal, "the attempt loop ended without a result"))
    }

    /// Finds an engine, retrying while its owner is stopping or unreachable: another node takes ownership
    /// over soon, and nothing has been sent to an engine yet.
    pub(super) async fn place(
        &self,
        turn: &Turn,
        work: &EngineWork,
        preferred: &[EngineName],
        failed: &[EngineName],
    ) -> Result<Grant, Problem> {
        let mut attempts = 1;
        loop {
            let queue_time = turn.deadline.since(self.context.now());
            let placed = self.engine_router.place(&turn.pool, work, preferred, failed, queue_time).await;
            match placed {
                Err(problem) if is_owner_unavailable(&problem) && attempts < MAX_PLACEMENT_ATTEMPTS => {
                    attempts += 1
                }
                outcome => return outcome,
            }
            tokio::time::sleep(PLACEMENT_RETRY_DELAY).await;
        }
    }

    pub(super) fn build_engine_request(
        &self,
        turn: &Turn,
        run: &RunTurn,
        messages: Vec<ChatMessage>,
    ) -> EngineRequest {
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

    pub(super) fn build_work(&self, turn: &Turn, run: &RunTurn, prefixes: &[ContextPrefix]) -> EngineWork {
        EngineWork {
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

    /// Runs one attempt at one engine. The grant is released however the attempt ends.
    pub(super) async fn run_attempt(
        &self,
        turn: &Turn,
        grant: &Grant,
        request: &EngineRequest,
        caller: &mut CallerChannel,
        progress: &mut TurnProgress,
        prefixes: &[ContextPrefix],
    ) -> Result<String, EngineError> {
        let mut release = ReleaseOnDrop::new(self, grant, turn.call.call);
        let sent = self.context.now();
        let generated_before = progress.generated;
        // Recorded before sending: from here on the engine may have seen the request, unless connecting
        // fails.
        progress.machine.record_sent(&engine_id(&grant.engine));
        progress.tried.push(grant.engine.clone());
        let started = self.engine_client.start(grant.address, request, turn.pool.stall_timeout).await;
        let mut stream = match started {
            Ok(stream) => stream,
            Err(error) => {
                if matches!(error, EngineError::Unreachable(_)) {
                    progress.tried.pop();
                }
                release.record_error(&error);
                return Err(error);
            }
        };
        let outcome = self.read_stream(turn, &mut stream, caller, progress).await;
        let finish_reason = match outcome {
            Ok(finish_reason) => finish_reason,
            Err(error) => {
                release.record_error(&error);
                return Err(error);
            }
        };
        if progress.usage.output_tokens == 0 {
            // The engine hasn't told its usage. Each delta counts as a token.
            progress.usage.output_tokens = progress.generated - generated_before;
        }
        self.record_finished(&mut release, progress, prefixes, sent);
        progress.usage.output_tokens += generated_before;
        progress.usage.prompt_tokens = progress.usage.prompt_tokens.saturating_sub(generated_before);
        Ok(finish_reason)
    }

    pub(super) fn record_finished(
        &self,
        release: &mut ReleaseOnDrop<'_>,
        progress: &TurnProgress,
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
            time_to_first_token: first.since(sent),
            decode_time: now.since(first),
            end,
        });
    }

    pub(super) async fn read_stream(
        &self,
        turn: &Turn,
        stream: &mut EngineStream,
        caller: &mut CallerChannel,
        progress: &mut TurnProgress,
    ) -> Result<String, EngineError> {
        loop {
            let items = match stream.next_items().await {
                Err(error) if progress.answer.finish_reason().is_some() => {
                    // The finish reason ends the answer. Another engine would add to it.
                    info!(self.context.logger, "engine ended a stream behind the finish reason";
                        "call" => %turn.call.call, "error" => error.to_string());
                    Vec::new()
                }
                read => read?,
            };
            if items.is_empty() {
                let reason = progress.answer.finish_reason().map(str::to_owned);
                return reason.ok_or(EngineError::InvalidResponse);
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
                self.record_first_token(turn, progress);
                caller.send(ChatItem::Deltas(deltas), turn.pool.stall_timeout).await;
            }
        }
    }

    pub(super) fn record_first_token(&self, turn: &Turn, progress: &mut TurnProgress) {
        if progress.first_token.is_none() {
            let now = self.context.now();
            progress.first_token = Some(now);
            let seconds = now.since(turn.started).as_secs_f64();
            self.context.metrics.first_token_seconds.observe(seconds);
        }
    }

    pub(super) fn record_first_attempt(&self, turn: &Turn) {
        self.with_retry_budget(turn, RetryBudget::record_attempt);
    }

    pub(super) fn check_retry(
        &self,
        turn: &Turn,
        engine: &EngineName,
        progress: &mut TurnProgress,
        error: &EngineError,
    ) -> Result<(), Problem> {
        let problem = to_problem(error);
        if !error.is_engine_fault() || !progress.answer.is_resumable() {
            progress.machine.forbid_resumption();
        }
        let now = self.context.now();
        let next = progress.machine.record_failure(&engine_id(engine), classify_failure(error), now);
        if !matches!(next, Next::Try { .. }) {
            return Err(problem);
        }
        if !self.with_retry_budget(turn, |budget| budget.try_retry(now)) {
            let detail = format!("{problem}; the retry budget of pool {} is exhausted", turn.pool.name);
            return Err(Problem::unknown(ResultCode::RetryBudgetExhausted, detail)
                .with_retry_after(Duration::from_secs(1)));
        }
        self.context.metrics.retries.inc();
        Ok(())
    }

    pub(super) fn with_retry_budget<T>(&self, turn: &Turn, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let retry = turn.bundle.retry;
        let mut budgets = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets
            .entry(turn.pool.name.clone())
            .or_insert_with(|| RetryBudget::new(retry.ratio, retry.minimum_per_second, MAX_RETRY_BUDGET));
        change(budget)
    }
}

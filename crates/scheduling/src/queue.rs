//! Admission queue of one engine, held by the node that owns the engine.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{CallId, EngineName, Problem, ProgramId, ResultCode, Timestamp, TokenCount, Usage};

use crate::{
    Bid, CacheIndex, CircuitBreaker, CircuitBreakerSettings, ContextPrefix, EngineLoad, EngineRates,
    EngineWork, OrderSettings, RateObservation, WaitingList, estimate, order_key,
};

/// Limits and initial values of an engine's queue.
#[derive(Debug, Clone, Copy)]
#[allow(missing_docs)]
pub struct QueueSettings {
    /// Maximum concurrent calls at the engine.
    pub max_running: usize,
    /// Maximum waiting calls.
    pub max_queued: usize,
    /// Tokens of context that fit in the engine's memory.
    pub capacity_tokens: TokenCount,
    /// Time after which a granted call that was not released is considered lost.
    pub grant_lease: Duration,
    pub order: OrderSettings,
    pub circuit_breaker: CircuitBreakerSettings,
    /// Rates assumed until calls were observed.
    pub rates: EngineRates,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_running: 64,
            max_queued: 1024,
            capacity_tokens: 400_000,
            grant_lease: Duration::from_secs(600),
            order: OrderSettings::default(),
            circuit_breaker: CircuitBreakerSettings::default(),
            rates: EngineRates::default(),
        }
    }
}

/// An action that the queue's holder has to carry out.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub enum QueueEffect {
    /// The call may be sent to the engine.
    Grant { call: CallId },
    /// The call is rejected without having been sent.
    Reject { call: CallId, problem: Problem },
}

/// Outcome of a granted call.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct Release {
    pub call: CallId,
    /// `None` if there was no complete answer.
    pub finished: Option<FinishedWork>,
    /// Whether the failure counts against the engine's health.
    pub is_engine_fault: bool,
}

/// Measurements of a complete answer.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedWork {
    /// Token counts reported by the engine.
    pub usage: Usage,
    /// Time from sending the request to the first token.
    pub time_to_first_token: Duration,
    /// Time from the first to the last token.
    pub decode_time: Duration,
    /// The prefix, answer included, that the cache now holds; `None` if unknown.
    pub end: Option<ContextPrefix>,
}

#[derive(Debug)]
struct RunningCall {
    work: EngineWork,
    granted_at: Timestamp,
    uncached_tokens: TokenCount,
}

/// Queue, load, health and estimated cache content of one engine.
#[derive(Debug)]
pub struct EngineQueue {
    engine: EngineName,
    settings: QueueSettings,
    rates: EngineRates,
    circuit_breaker: CircuitBreaker,
    cache: CacheIndex,
    queued: WaitingList<CallId, EngineWork>,
    running: BTreeMap<CallId, RunningCall>,
    is_draining: bool,
}

impl EngineQueue {
    /// Starts empty, with a closed circuit breaker and the initial rates of the settings.
    pub fn new(engine: EngineName, settings: QueueSettings) -> Self {
        Self {
            engine,
            settings,
            rates: settings.rates,
            circuit_breaker: CircuitBreaker::new(settings.circuit_breaker),
            cache: CacheIndex::new(settings.capacity_tokens),
            queued: WaitingList::new(settings.max_queued),
            running: BTreeMap::new(),
            is_draining: false,
        }
    }

    /// Current load, the input of the cost estimate.
    pub fn load(&self) -> EngineLoad {
        let sum = |values: &mut dyn Iterator<Item = TokenCount>| values.sum();
        EngineLoad {
            running: self.running.len(),
            max_running: self.settings.max_running,
            pending_prefill_tokens: sum(&mut self.running.values().map(|call| call.uncached_tokens)),
            queued: self.queued.len(),
            queued_prefill_tokens: sum(&mut self
                .queued
                .iter()
                .map(|(_, waiting)| self.uncached_tokens(&waiting.call))),
            context_tokens: sum(&mut self.running.values().map(|call| call.work.prompt_tokens())),
            capacity_tokens: self.settings.capacity_tokens,
        }
    }

    /// Rates learned so far.
    pub fn rates(&self) -> &EngineRates {
        &self.rates
    }

    /// Whether new calls are accepted: the engine isn't draining and its circuit breaker admits calls.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        (!self.is_draining || is_broken(Rule::NoCallsToLeavingEngines))
            && self.circuit_breaker.allowed(self.settings.max_running, now) > 0
    }

    /// Starts or ends draining. A draining engine gets no new calls, and the waiting ones are rejected.
    pub fn set_draining(&mut self, is_draining: bool) -> Vec<QueueEffect> {
        self.is_draining = is_draining;
        if !is_draining {
            return Vec::new();
        }
        let calls = self.queued.drain_ids().into_iter();
        calls.map(|call| QueueEffect::Reject { call, problem: self.not_accepting_problem() }).collect()
    }

    /// Applies new limits. Circuit breaker, learned rates and cache index stay as they are.
    pub fn reconfigure(&mut self, settings: QueueSettings) {
        self.settings = settings;
        self.queued.set_capacity(settings.max_queued);
    }

    /// Bids for a call; `None` if the engine accepts none or the queue is full.
    pub fn bid(&self, prefixes: &[ContextPrefix], now: Timestamp) -> Option<Bid> {
        if !self.is_usable(now) || self.queued.is_full() {
            return None;
        }
        let prompt_tokens = prefixes.last().map_or(0, |prefix| prefix.tokens);
        let cached_tokens = self.cache.cached_tokens(prefixes);
        let held_tokens = self.cache.held_tokens();
        let estimate = estimate(&self.rates, &self.load(), prompt_tokens, cached_tokens, held_tokens);
        Some(Bid { engine: self.engine.clone(), estimate, cached_tokens })
    }

    /// Queues a call; rejects it if the engine accepts none or the queue is full.
    pub fn enqueue(&mut self, work: EngineWork, now: Timestamp) -> Vec<QueueEffect> {
        let call = work.call;
        if !self.is_usable(now) {
            return vec![QueueEffect::Reject { call, problem: self.not_accepting_problem() }];
        }
        if self.queued.push(call, work, now).is_err() {
            return vec![QueueEffect::Reject { call, problem: self.queue_full_problem() }];
        }
        self.grant_next_calls(now)
    }

    /// Removes a waiting call; one that was granted must be released instead.
    pub fn cancel(&mut self, call: CallId) {
        self.queued.remove(call);
    }

    /// Frees the slot of a granted call and learns from its outcome; ignores calls that hold none.
    pub fn release(&mut self, release: Release, now: Timestamp) -> Vec<QueueEffect> {
        let Some(running) = self.running.remove(&release.call) else { return Vec::new() };
        if release.is_engine_fault {
            self.circuit_breaker.failed(now);
        }
        if let Some(finished) = release.finished {
            self.circuit_breaker.succeeded(now);
            self.record_finished(&running, finished, now);
        }
        self.grant_next_calls(now)
    }

    /// Removes an ended program's own context from the cache index.
    pub fn forget_program(&mut self, program: &ProgramId) {
        self.cache.forget_program(program);
    }

    /// Rejects waiting calls past their deadline, reclaims expired grants and grants calls for free slots.
    pub fn tick(&mut self, now: Timestamp) -> Vec<QueueEffect> {
        let grant_lease = self.settings.grant_lease;
        self.running.retain(|_, running| now.since(running.granted_at) < grant_lease);
        let expired =
            self.queued.matching_ids(|queued| queued.call.deadline.is_some_and(|deadline| deadline <= now));
        let mut effects = Vec::new();
        for call in expired {
            self.queued.remove(call);
            let detail = "deadline passed while the call was queued for an engine";
            let problem = Problem::not_run(ResultCode::DeadlineExceeded, detail);
            effects.push(QueueEffect::Reject { call, problem });
        }
        effects.extend(self.grant_next_calls(now));
        effects
    }

    fn grant_next_calls(&mut self, now: Timestamp) -> Vec<QueueEffect> {
        let mut effects = Vec::new();
        while self.has_free_slot(now) {
            let Some(call) = self.next_call(now) else { break };
            let Some(queued) = self.queued.remove(call) else { break };
            let uncached_tokens = self.uncached_tokens(&queued.call);
            self.circuit_breaker.sent(now);
            self.running.insert(call, RunningCall { work: queued.call, granted_at: now, uncached_tokens });
            effects.push(QueueEffect::Grant { call });
        }
        effects
    }

    fn has_free_slot(&self, now: Timestamp) -> bool {
        let allowed = self.circuit_breaker.allowed(self.settings.max_running, now);
        (!self.is_draining || is_broken(Rule::NoCallsToLeavingEngines)) && self.running.len() < allowed
    }

    /// The first call in order, if its context fits beside the running ones. An idle engine gets it whatever its size.
    fn next_call(&self, now: Timestamp) -> Option<CallId> {
        let order = &self.settings.order;
        let (call, queued) =
            self.queued.first_by_key(|queued| order_key(order, &queued.call, queued.enqueued_at, now))?;
        let context_tokens: TokenCount = self.running.values().map(|call| call.work.prompt_tokens()).sum();
        let needed_tokens = queued.call.prompt_tokens() + self.rates.output_tokens as TokenCount;
        let fits = context_tokens + needed_tokens <= self.settings.capacity_tokens;
        (fits || self.running.is_empty()).then_some(call)
    }

    fn record_finished(&mut self, running: &RunningCall, finished: FinishedWork, now: Timestamp) {
        let usage = finished.usage;
        self.rates.observe(&RateObservation {
            uncached_tokens: usage.prompt_tokens.saturating_sub(usage.cached_tokens),
            time_to_first_token: finished.time_to_first_token,
            decode_time: finished.decode_time,
            output_tokens: usage.output_tokens,
            running: self.running.len() + 1,
        });
        self.cache.correct(&running.work.prefixes, usage.cached_tokens);
        let mut prefixes = running.work.prefixes.clone();
        prefixes.extend(finished.end);
        self.cache.insert(&prefixes, &running.work.program, now);
    }

    fn uncached_tokens(&self, work: &EngineWork) -> TokenCount {
        work.prompt_tokens().saturating_sub(self.cache.cached_tokens(&work.prefixes))
    }

    fn not_accepting_problem(&self) -> Problem {
        let detail = format!("engine {} is not accepting new calls", self.engine);
        Problem::not_run(ResultCode::NoEngine, detail).with_retry_after(Duration::from_secs(1))
    }

    fn queue_full_problem(&self) -> Problem {
        let call_seconds = self.rates.step_seconds(self.running.len()) * self.rates.output_tokens;
        let retry_after = Duration::from_secs_f64(call_seconds.clamp(1.0, 60.0));
        let detail = format!("queue of engine {} is full ({} calls waiting)", self.engine, self.queued.len());
        Problem::not_run(ResultCode::Overloaded, detail).with_retry_after(retry_after)
    }
}

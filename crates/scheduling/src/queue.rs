//! The queue of one engine, held by the engine's owner.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{CallId, EngineName, Problem, ProgramId, ResultCode, Timestamp, TokenCount, Usage};

use crate::{
    Bid, CacheIndex, ContextPrefix, EngineLoad, EngineRates, Health, HealthSettings, OrderSettings,
    RateObservation, WaitingList, Work, estimate, order_key,
};

/// Parameters of a queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueSettings {
    /// Calls that the engine runs at a time.
    pub max_running: usize,
    /// Calls that may wait.
    pub max_queued: usize,
    /// Tokens of context that the engine's memory holds.
    pub capacity_tokens: TokenCount,
    /// A granted call that is not released for this long is taken for lost.
    pub grant_lease: Duration,
    /// Order of waiting calls.
    pub order: OrderSettings,
    /// Circuit breaker.
    pub health: HealthSettings,
    /// Speeds before anything is learned.
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
            health: HealthSettings::default(),
            rates: EngineRates::default(),
        }
    }
}

/// What a queue wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum QueueEffect {
    /// The call may be sent to the engine now.
    Grant {
        /// The call.
        call: CallId,
    },
    /// The call is refused; it was not sent.
    Refuse {
        /// The call.
        call: CallId,
        /// Why.
        problem: Problem,
    },
}

/// How a granted call ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Release {
    /// The call.
    pub call: CallId,
    /// What an answer showed; `None` where there was no whole answer.
    pub finished: Option<FinishedWork>,
    /// Whether the call failed through the engine's fault.
    pub is_engine_fault: bool,
}

/// What a whole answer showed.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedWork {
    /// Tokens as the engine reported them.
    pub usage: Usage,
    /// From sending to the first token.
    pub first_token: Duration,
    /// From the first to the last token.
    pub decoding: Duration,
    /// The history's end with the answer, which the cache now holds.
    pub end: Option<ContextPrefix>,
}

#[derive(Debug)]
struct Running {
    work: Work,
    granted: Timestamp,
    uncached_tokens: TokenCount,
}

/// Queue, load and cache belief of one engine.
#[derive(Debug)]
pub struct EngineQueue {
    engine: EngineName,
    settings: QueueSettings,
    rates: EngineRates,
    health: Health,
    cache: CacheIndex,
    queued: WaitingList<CallId, Work>,
    running: BTreeMap<CallId, Running>,
    is_leaving: bool,
}

impl EngineQueue {
    /// An empty queue.
    pub fn new(engine: EngineName, settings: QueueSettings) -> Self {
        Self {
            engine,
            settings,
            rates: settings.rates,
            health: Health::new(settings.health),
            cache: CacheIndex::new(settings.capacity_tokens),
            queued: WaitingList::new(settings.max_queued),
            running: BTreeMap::new(),
            is_leaving: false,
        }
    }

    /// What the engine has to do.
    pub fn load(&self) -> EngineLoad {
        let sum = |values: &mut dyn Iterator<Item = TokenCount>| values.sum();
        EngineLoad {
            running: self.running.len(),
            max_running: self.settings.max_running,
            pending_prefill_tokens: sum(&mut self.running.values().map(|one| one.uncached_tokens)),
            queued: self.queued.len(),
            queued_prefill_tokens: sum(&mut self.queued.iter().map(|(_, one)| self.uncached(&one.call))),
            context_tokens: sum(&mut self.running.values().map(|one| one.work.prompt_tokens())),
            capacity_tokens: self.settings.capacity_tokens,
        }
    }

    /// The speeds learned so far.
    pub fn rates(&self) -> &EngineRates {
        &self.rates
    }

    /// Whether the engine may get new calls.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        (!self.is_leaving || is_broken(Rule::LeavingEngineRefuses))
            && self.health.allowed(self.settings.max_running, now) > 0
    }

    /// Marks the engine as leaving: from now on nothing new is sent to it.
    pub fn set_leaving(&mut self, is_leaving: bool) -> Vec<QueueEffect> {
        self.is_leaving = is_leaving;
        if !is_leaving {
            return Vec::new();
        }
        let calls = self.queued.take_all().into_iter();
        calls.map(|call| QueueEffect::Refuse { call, problem: self.unusable() }).collect()
    }

    /// Adopts other limits.
    pub fn reconfigure(&mut self, settings: QueueSettings) {
        self.settings = settings;
        self.queued.set_most(settings.max_queued);
    }

    /// An offer for a call, if the engine may get one.
    pub fn bid(&self, prefixes: &[ContextPrefix], now: Timestamp) -> Option<Bid> {
        if !self.is_usable(now) || self.queued.is_full() {
            return None;
        }
        let prompt_tokens = prefixes.last().map_or(0, |prefix| prefix.tokens);
        let cached_tokens = self.cache.cached_tokens(prefixes);
        let held = self.cache.held_tokens();
        let estimate = estimate(&self.rates, &self.load(), prompt_tokens, cached_tokens, held);
        Some(Bid { engine: self.engine.clone(), estimate, cached_tokens })
    }

    /// Adds a call.
    pub fn enqueue(&mut self, work: Work, now: Timestamp) -> Vec<QueueEffect> {
        let call = work.call;
        if !self.is_usable(now) {
            return vec![QueueEffect::Refuse { call, problem: self.unusable() }];
        }
        if self.queued.push(call, work, now).is_err() {
            return vec![QueueEffect::Refuse { call, problem: self.overloaded() }];
        }
        self.grant(now)
    }

    /// Drops a call that waits; one that was granted must be released instead.
    pub fn forget(&mut self, call: CallId) {
        self.queued.remove(call);
    }

    /// Ends a granted call.
    pub fn release(&mut self, release: Release, now: Timestamp) -> Vec<QueueEffect> {
        let Some(running) = self.running.remove(&release.call) else { return Vec::new() };
        if release.is_engine_fault {
            self.health.failed(now);
        }
        if let Some(finished) = release.finished {
            self.health.succeeded(now);
            self.learn(&running, finished, now);
        }
        self.grant(now)
    }

    /// Drops what is believed of an ended program's context.
    pub fn forget_program(&mut self, program: &ProgramId) {
        self.cache.forget_program(program);
    }

    /// Refuses calls past their deadline, and takes lost grants back.
    pub fn tick(&mut self, now: Timestamp) -> Vec<QueueEffect> {
        let lease = self.settings.grant_lease;
        self.running.retain(|_, running| now.since(running.granted) < lease);
        let late =
            self.queued.ids_where(|queued| queued.call.deadline.is_some_and(|deadline| deadline <= now));
        let mut effects = Vec::new();
        for call in late {
            self.queued.remove(call);
            let detail = "the deadline passed while the call waited for an engine";
            let problem = Problem::not_run(ResultCode::DeadlineExceeded, detail);
            effects.push(QueueEffect::Refuse { call, problem });
        }
        effects.extend(self.grant(now));
        effects
    }

    fn grant(&mut self, now: Timestamp) -> Vec<QueueEffect> {
        let mut effects = Vec::new();
        while self.has_room(now) {
            let Some(call) = self.next_call(now) else { break };
            let Some(queued) = self.queued.remove(call) else { break };
            let uncached_tokens = self.uncached(&queued.call);
            self.health.sent(now);
            self.running.insert(call, Running { work: queued.call, granted: now, uncached_tokens });
            effects.push(QueueEffect::Grant { call });
        }
        effects
    }

    fn has_room(&self, now: Timestamp) -> bool {
        let allowed = self.health.allowed(self.settings.max_running, now);
        (!self.is_leaving || is_broken(Rule::LeavingEngineRefuses)) && self.running.len() < allowed
    }

    /// The first call in order whose context fits beside the running ones.
    fn next_call(&self, now: Timestamp) -> Option<CallId> {
        let order = &self.settings.order;
        let (call, queued) =
            self.queued.first_by(|queued| order_key(order, &queued.call, queued.since, now))?;
        let context: TokenCount = self.running.values().map(|one| one.work.prompt_tokens()).sum();
        let needed = queued.call.prompt_tokens() + self.rates.output_tokens as TokenCount;
        let fits = context + needed <= self.settings.capacity_tokens;
        (fits || self.running.is_empty()).then_some(call)
    }

    fn learn(&mut self, running: &Running, finished: FinishedWork, now: Timestamp) {
        let usage = finished.usage;
        self.rates.observe(&RateObservation {
            uncached_tokens: usage.prompt_tokens.saturating_sub(usage.cached_tokens),
            first_token: finished.first_token,
            decoding: finished.decoding,
            output_tokens: usage.output_tokens,
            running: self.running.len() + 1,
        });
        self.cache.correct(&running.work.prefixes, usage.cached_tokens);
        let mut prefixes = running.work.prefixes.clone();
        prefixes.extend(finished.end);
        self.cache.insert(&prefixes, &running.work.program, now);
    }

    fn uncached(&self, work: &Work) -> TokenCount {
        work.prompt_tokens().saturating_sub(self.cache.cached_tokens(&work.prefixes))
    }

    fn unusable(&self) -> Problem {
        let detail = format!("engine {} takes no new calls", self.engine);
        Problem::not_run(ResultCode::NoEngine, detail).with_retry_after(Duration::from_secs(1))
    }

    fn overloaded(&self) -> Problem {
        let call_seconds = self.rates.step(self.running.len()) * self.rates.output_tokens;
        let retry_after = Duration::from_secs_f64(call_seconds.clamp(1.0, 60.0));
        let detail = format!("engine {} has {} calls waiting", self.engine, self.queued.len());
        Problem::not_run(ResultCode::Overloaded, detail).with_retry_after(retry_after)
    }
}

//! Queues of the engines that this node owns.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::info;
use sumacdrift_engine_client::EngineClient;
use sumacdrift_scheduling::{Bid, ContextPrefix, EngineLoad, EngineQueue, QueueEffect, Release, Work};
use sumacdrift_types::{CallId, EngineName, Problem, ProgramId, ResultCode};
use tokio::sync::oneshot;

use crate::configuration::ConfigurationStore;
use crate::context::Context;

/// How often queues are given the time.
const TICK: Duration = Duration::from_millis(100);
/// How often freeing a program's memory is tried.
const FREE_ATTEMPTS: u32 = 5;
/// First pause between two tries; it doubles.
const FREE_PAUSE: Duration = Duration::from_millis(200);

struct Owned {
    queue: EngineQueue,
    waiting: HashMap<CallId, oneshot::Sender<Result<(), Problem>>>,
}

/// Queues by engine. A queue comes into being when its engine is first asked about.
pub(crate) struct EngineOwner {
    context: Arc<Context>,
    configuration: Arc<ConfigurationStore>,
    client: EngineClient,
    owned: Mutex<HashMap<EngineName, Owned>>,
}

impl EngineOwner {
    pub(crate) fn new(
        context: Arc<Context>,
        configuration: Arc<ConfigurationStore>,
        client: EngineClient,
    ) -> Self {
        Self { context, configuration, client, owned: Mutex::default() }
    }

    /// Offers for a call; engines that can't take it are left out.
    pub(crate) fn bids(&self, engines: &[EngineName], prefixes: &[ContextPrefix]) -> Vec<Bid> {
        let now = self.context.now();
        let mut owned = self.lock();
        let mut bids = Vec::new();
        for engine in engines {
            if let Some(one) = self.queue_of(&mut owned, engine) {
                bids.extend(one.queue.bid(prefixes, now));
            }
        }
        bids
    }

    /// Queues a call and waits until it may be sent. Dropping the future takes the call out of the queue.
    pub(crate) async fn enqueue(&self, engine: &EngineName, work: Work) -> Result<(), Problem> {
        let call = work.call;
        let (sender, receiver) = oneshot::channel();
        {
            let now = self.context.now();
            let mut owned = self.lock();
            let Some(one) = self.queue_of(&mut owned, engine) else {
                let detail = format!("engine {engine} is not configured");
                return Err(Problem::not_run(ResultCode::NoEngine, detail));
            };
            one.waiting.insert(call, sender);
            let effects = one.queue.enqueue(work, now);
            deliver(one, effects);
        }
        let guard = ForgetOnDrop { owner: self, engine, call, is_settled: false };
        let outcome = receiver.await;
        guard.settle();
        let lost = || Problem::not_run(ResultCode::NoEngine, "the engine's queue was dropped");
        outcome.unwrap_or_else(|_| Err(lost()))
    }

    /// Ends a granted call.
    pub(crate) fn release(&self, engine: &EngineName, release: Release) {
        let now = self.context.now();
        let mut owned = self.lock();
        if let Some(one) = owned.get_mut(engine) {
            let effects = one.queue.release(release, now);
            deliver(one, effects);
        }
    }

    /// Takes a call out of the queue; if it was granted meanwhile, gives the grant back.
    pub(crate) fn forget(&self, engine: &EngineName, call: CallId) {
        let now = self.context.now();
        let mut owned = self.lock();
        if let Some(one) = owned.get_mut(engine) {
            one.waiting.remove(&call);
            one.queue.forget(call);
            let release = Release { call, finished: None, is_engine_fault: false };
            let effects = one.queue.release(release, now);
            deliver(one, effects);
        }
    }

    /// Tells an engine that a program ended, trying a few times.
    pub(crate) fn free_program(self: &Arc<Self>, engine: &EngineName, program: &ProgramId) {
        if let Some(one) = self.lock().get_mut(engine) {
            one.queue.forget_program(program);
        }
        let (owner, engine, program) = (Arc::clone(self), engine.clone(), program.clone());
        tokio::spawn(async move {
            let mut pause = FREE_PAUSE;
            for _ in 0..FREE_ATTEMPTS {
                let Some(address) = owner.configuration.address_of(&engine) else { return };
                if owner.client.free_program(address, &program).await.is_ok() {
                    return;
                }
                tokio::time::sleep(pause).await;
                pause *= 2;
            }
            info!(owner.context.logger, "engine did not free a program's memory";
                "engine" => %engine, "program" => %program);
        });
    }

    /// Loads of all queues here.
    pub(crate) fn loads(&self) -> Vec<(EngineName, EngineLoad)> {
        let owned = self.lock();
        let mut loads: Vec<(EngineName, EngineLoad)> =
            owned.iter().map(|(engine, one)| (engine.clone(), one.queue.load())).collect();
        loads.sort_by(|left, right| left.0.cmp(&right.0));
        loads
    }

    /// Lets time pass until the node stops.
    pub(crate) async fn run(self: Arc<Self>) {
        self.context.every(TICK, || self.tick()).await;
    }

    /// Adopts a new configuration: other limits, leaving engines, engines that are gone.
    pub(crate) fn reconfigure(&self) {
        let Some(bundle) = self.configuration.current() else { return };
        let mut owned = self.lock();
        for (engine, one) in owned.iter_mut() {
            let found = bundle.engines().find(|(_, configured)| configured.name == *engine);
            let is_leaving = found.is_none_or(|(_, configured)| configured.is_leaving);
            if let Some((pool, _)) = found {
                one.queue.reconfigure(pool.queue);
            }
            let effects = one.queue.set_leaving(is_leaving);
            deliver(one, effects);
        }
    }

    fn tick(&self) {
        let now = self.context.now();
        let mut owned = self.lock();
        let mut queued = 0;
        for one in owned.values_mut() {
            let effects = one.queue.tick(now);
            deliver(one, effects);
            queued += one.queue.load().queued;
        }
        self.context.metrics.engines_owned.set(owned.len() as i64);
        self.context.metrics.calls_queued.set(queued as i64);
    }

    fn queue_of<'a>(
        &self,
        owned: &'a mut HashMap<EngineName, Owned>,
        engine: &EngineName,
    ) -> Option<&'a mut Owned> {
        if !owned.contains_key(engine) {
            let bundle = self.configuration.current()?;
            let (pool, configured) = bundle.engines().find(|(_, one)| one.name == *engine)?;
            let mut queue = EngineQueue::new(engine.clone(), pool.queue);
            queue.set_leaving(configured.is_leaving);
            owned.insert(engine.clone(), Owned { queue, waiting: HashMap::new() });
        }
        owned.get_mut(engine)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EngineName, Owned>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn deliver(one: &mut Owned, effects: Vec<QueueEffect>) {
    for effect in effects {
        let (call, outcome) = match effect {
            QueueEffect::Grant { call } => (call, Ok(())),
            QueueEffect::Refuse { call, problem } => (call, Err(problem)),
        };
        if let Some(waiter) = one.waiting.remove(&call) {
            // A waiter that is gone gives the grant back through `ForgetOnDrop`.
            let _ = waiter.send(outcome);
        }
    }
}

/// Takes a call out of the queue unless its outcome was received.
struct ForgetOnDrop<'a> {
    owner: &'a EngineOwner,
    engine: &'a EngineName,
    call: CallId,
    is_settled: bool,
}

impl ForgetOnDrop<'_> {
    fn settle(mut self) {
        self.is_settled = true;
    }
}

impl Drop for ForgetOnDrop<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.owner.forget(self.engine, self.call);
        }
    }
}

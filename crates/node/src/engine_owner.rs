//! Call queues of the engines that this node owns.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::info;
use sumacdrift_engine_client::EngineClient;
use sumacdrift_scheduling::{Bid, ContextPrefix, EngineLoad, EngineQueue, EngineWork, QueueEffect, Release};
use sumacdrift_types::{CallId, EngineName, Problem, ProgramId, ResultCode};
use tokio::sync::oneshot;

use crate::configuration::ConfigurationStore;
use crate::context::Context;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum requests to an engine to free a program's memory.
const MAX_FREE_ATTEMPTS: u32 = 5;
/// Delay before the second attempt; doubles with each attempt.
const INITIAL_FREE_BACKOFF: Duration = Duration::from_millis(200);

struct OwnedEngine {
    queue: EngineQueue,
    waiters: HashMap<CallId, oneshot::Sender<Result<(), Problem>>>,
}

/// Call queues by engine. A queue is created on the first request for its engine.
pub(crate) struct EngineOwner {
    context: Arc<Context>,
    configuration: Arc<ConfigurationStore>,
    engine_client: EngineClient,
    owned: Mutex<HashMap<EngineName, OwnedEngine>>,
}

impl EngineOwner {
    pub(crate) fn new(
        context: Arc<Context>,
        configuration: Arc<ConfigurationStore>,
        engine_client: EngineClient,
    ) -> Self {
        Self { context, configuration, engine_client, owned: Mutex::default() }
    }

    /// Bids of the engines for a call. Engines that can't take it are left out.
    pub(crate) fn bids(&self, engines: &[EngineName], prefixes: &[ContextPrefix]) -> Vec<Bid> {
        let now = self.context.now();
        let mut owned = self.lock();
        let mut bids = Vec::new();
        for engine in engines {
            if let Some(entry) = self.queue_for(&mut owned, engine) {
                bids.extend(entry.queue.bid(prefixes, now));
            }
        }
        bids
    }

    /// Enqueues a call and waits until the engine's queue grants or rejects it. Dropping the future cancels
    /// the call.
    pub(crate) async fn enqueue(&self, engine: &EngineName, work: EngineWork) -> Result<(), Problem> {
        let call = work.call;
        let (sender, receiver) = oneshot::channel();
        {
            let now = self.context.now();
            let mut owned = self.lock();
            let Some(entry) = self.queue_for(&mut owned, engine) else {
                let detail = format!("engine {engine} is not configured");
                return Err(Problem::not_run(ResultCode::NoEngine, detail));
            };
            entry.waiters.insert(call, sender);
            let effects = entry.queue.enqueue(work, now);
            deliver_outcomes(entry, effects);
        }
        let guard = CancelOnDrop { owner: self, engine, call, is_disarmed: false };
        let outcome = receiver.await;
        guard.disarm();
        let lost = || Problem::not_run(ResultCode::NoEngine, "the engine's queue was dropped");
        outcome.unwrap_or_else(|_| Err(lost()))
    }

    /// Frees the slot of a granted call.
    pub(crate) fn release(&self, engine: &EngineName, release: Release) {
        let now = self.context.now();
        let mut owned = self.lock();
        if let Some(entry) = owned.get_mut(engine) {
            let effects = entry.queue.release(release, now);
            deliver_outcomes(entry, effects);
        }
    }

    /// Removes a call from the queue, or frees its slot if it was already granted.
    pub(crate) fn cancel_call(&self, engine: &EngineName, call: CallId) {
        let now = self.context.now();
        let mut owned = self.lock();
        if let Some(entry) = owned.get_mut(engine) {
            entry.waiters.remove(&call);
            entry.queue.cancel(call);
            let release = Release { call, finished: None, is_engine_fault: false };
            let effects = entry.queue.release(release, now);
            deliver_outcomes(entry, effects);
        }
    }

    /// Tells an engine in the background to free the memory of an ended program.
    pub(crate) fn free_program(self: &Arc<Self>, engine: &EngineName, program: &ProgramId) {
        if let Some(entry) = self.lock().get_mut(engine) {
            entry.queue.forget_program(program);
        }
        let (owner, engine, program) = (Arc::clone(self), engine.clone(), program.clone());
        tokio::spawn(async move {
            let mut backoff = INITIAL_FREE_BACKOFF;
            for _ in 0..MAX_FREE_ATTEMPTS {
                let Some(address) = owner.configuration.address_of(&engine) else { return };
                if owner.engine_client.free_program(address, &program).await.is_ok() {
                    return;
                }
                tokio::time::sleep(backoff).await;
                backoff *= 2;
            }
            info!(owner.context.logger, "failed to free a program's memory at an engine";
                "engine" => %engine, "program" => %program);
        });
    }

    /// Loads of all queues on this node, ordered by engine name.
    pub(crate) fn loads(&self) -> Vec<(EngineName, EngineLoad)> {
        let owned = self.lock();
        let mut loads: Vec<(EngineName, EngineLoad)> =
            owned.iter().map(|(engine, entry)| (engine.clone(), entry.queue.load())).collect();
        loads.sort_by(|left, right| left.0.cmp(&right.0));
        loads
    }

    /// Ticks the queues until the node stops.
    pub(crate) async fn run(self: Arc<Self>) {
        self.context.run_every(TICK_INTERVAL, || self.tick()).await;
    }

    /// Applies the active configuration to the existing queues. Engines that are leaving or no
    /// longer configured are drained.
    pub(crate) fn reconfigure(&self) {
        let Some(bundle) = self.configuration.current() else { return };
        let mut owned = self.lock();
        for (engine, entry) in owned.iter_mut() {
            let found = bundle.engines().find(|(_, configured)| configured.name == *engine);
            let is_draining = found.is_none_or(|(_, configured)| configured.is_draining);
            if let Some((pool, _)) = found {
                entry.queue.reconfigure(pool.queue);
            }
            let effects = entry.queue.set_draining(is_draining);
            deliver_outcomes(entry, effects);
        }
    }

    fn tick(&self) {
        let now = self.context.now();
        let mut owned = self.lock();
        let mut queued = 0;
        for entry in owned.values_mut() {
            let effects = entry.queue.tick(now);
            deliver_outcomes(entry, effects);
            queued += entry.queue.load().queued;
        }
        self.context.metrics.engines_owned.set(owned.len() as i64);
        self.context.metrics.calls_queued.set(queued as i64);
    }

    fn queue_for<'a>(
        &self,
        owned: &'a mut HashMap<EngineName, OwnedEngine>,
        engine: &EngineName,
    ) -> Option<&'a mut OwnedEngine> {
        if !owned.contains_key(engine) {
            let bundle = self.configuration.current()?;
            let (pool, configured) = bundle.engines().find(|(_, candidate)| candidate.name == *engine)?;
            let mut queue = EngineQueue::new(engine.clone(), pool.queue);
            queue.set_draining(configured.is_draining);
            owned.insert(engine.clone(), OwnedEngine { queue, waiters: HashMap::new() });
        }
        owned.get_mut(engine)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EngineName, OwnedEngine>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn deliver_outcomes(entry: &mut OwnedEngine, effects: Vec<QueueEffect>) {
    for effect in effects {
        let (call, outcome) = match effect {
            QueueEffect::Grant { call } => (call, Ok(())),
            QueueEffect::Reject { call, problem } => (call, Err(problem)),
        };
        if let Some(waiter) = entry.waiters.remove(&call) {
            // A waiter that was dropped frees the grant through `CancelOnDrop`.
            let _ = waiter.send(outcome);
        }
    }
}

/// Cancels an enqueued call on drop, unless its outcome was received.
struct CancelOnDrop<'a> {
    owner: &'a EngineOwner,
    engine: &'a EngineName,
    call: CallId,
    is_disarmed: bool,
}

impl CancelOnDrop<'_> {
    fn disarm(mut self) {
        self.is_disarmed = true;
    }
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.is_disarmed {
            self.owner.cancel_call(self.engine, self.call);
        }
    }
}

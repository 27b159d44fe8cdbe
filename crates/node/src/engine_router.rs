//! Selects an engine for a call by bids from engine owners and enqueues the call there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use sumacdrift_config::{Engine, Pool};
use sumacdrift_proto::{EngineReply, EngineRequest, OneWay, Request, Response};
use sumacdrift_scheduling::{
    Bid, ContextPrefix, EngineWork, Placement, Release, choose_bid, sample_candidates,
};
use sumacdrift_types::{EngineName, NodeId, Problem, ProgramId, ResultCode};

use crate::configuration::ConfigurationStore;
use crate::context::Context;
use crate::engine_owner::EngineOwner;
use crate::fleet::Fleet;

/// Random engines asked for a bid in addition to the preferred ones.
const RANDOM_CANDIDATES: usize = 2;
const BID_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry-after hint for callers while no engine is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Margin beyond the call's queue time before its owner is considered unreachable.
const ENQUEUE_MARGIN: Duration = Duration::from_secs(1);

/// A slot at an engine, granted to a call.
#[derive(Debug, Clone)]
pub(crate) struct Grant {
    pub(crate) engine: EngineName,
    pub(crate) address: SocketAddr,
    /// The node that granted the slot and must be notified when the call ends.
    pub(crate) owner: NodeId,
    pub(crate) reason: String,
}

pub(crate) struct EngineRouter {
    context: Arc<Context>,
    fleet: Arc<Fleet>,
    configuration: Arc<ConfigurationStore>,
    engine_owner: Arc<EngineOwner>,
}

impl EngineRouter {
    pub(crate) fn new(
        context: Arc<Context>,
        fleet: Arc<Fleet>,
        configuration: Arc<ConfigurationStore>,
        engine_owner: Arc<EngineOwner>,
    ) -> Self {
        Self { context, fleet, configuration, engine_owner }
    }

    /// Selects an engine and waits until its queue grants the call. `preferred` are engines that may have the
    /// call's context cached, `failed` engines that already failed the call. `queue_time` bounds the time in
    /// the queue.
    pub(crate) async fn place(
        &self,
        pool: &Pool,
        work: &EngineWork,
        preferred: &[EngineName],
        failed: &[EngineName],
        queue_time: Duration,
    ) -> Result<Grant, Problem> {
        let usable = usable_engines(pool, failed);
        let names: Vec<EngineName> = usable.iter().map(|engine| engine.name.clone()).collect();
        let pick = |count| rand::rng().random_range(0..count);
        let candidates = sample_candidates(&names, preferred, RANDOM_CANDIDATES, pick);
        let mut bids = self.collect_bids(&usable, &candidates, &work.prefixes).await;
        if bids.is_empty() {
            bids = self.collect_bids(&usable, &names, &work.prefixes).await;
        }
        let rate = pool.queue.rates.prefill_tokens_per_second;
        let placement = choose_bid(&bids, &pool.weights, rate).ok_or_else(|| no_engine_available(pool))?;
        check_queue_time(&placement, queue_time)?;
        self.enqueue(&usable, placement, work, queue_time).await
    }

    /// Reports the end of a granted call to the owner of its engine.
    pub(crate) fn release(&self, grant: &Grant, release: Release) {
        if grant.owner == self.context.own_replica.node {
            self.engine_owner.release(&grant.engine, release);
        } else if let Some(address) = self.fleet.address_of(grant.owner) {
            let message = OneWay::Release { engine: grant.engine.clone(), release };
            self.context.transport.send(address, message);
        }
    }

    /// Frees the memory of an ended program at these engines, through their owners.
    pub(crate) fn free_program(&self, program: &ProgramId, engines: &[EngineName]) {
        for engine in engines {
            let Some(zone) = self.configuration.zone_of(engine) else { continue };
            match self.fleet.owner_of(engine, &zone) {
                Some(owner) if owner != self.context.own_replica.node => {
                    if let Some(address) = self.fleet.address_of(owner) {
                        let (engine, program) = (engine.clone(), program.clone());
                        self.context.transport.send(address, OneWay::FreeProgram { engine, program });
                    }
                }
                _ => self.engine_owner.free_program(engine, program),
            }
        }
    }

    async fn collect_bids(
        &self,
        usable: &[&Engine],
        candidates: &[EngineName],
        prefixes: &[ContextPrefix],
    ) -> Vec<Bid> {
        let mut by_owner: BTreeMap<NodeId, Vec<EngineName>> = BTreeMap::new();
        for engine in usable.iter().filter(|engine| candidates.contains(&engine.name)) {
            if let Some(owner) = self.fleet.owner_of(&engine.name, &engine.zone) {
                by_owner.entry(owner).or_default().push(engine.name.clone());
            }
        }
        let asked = by_owner.into_iter().map(|(owner, engines)| self.request_bids(owner, engines, prefixes));
        futures::future::join_all(asked).await.into_iter().flatten().collect()
    }

    async fn request_bids(
        &self,
        owner: NodeId,
        engines: Vec<EngineName>,
        prefixes: &[ContextPrefix],
    ) -> Vec<Bid> {
        if owner == self.context.own_replica.node {
            return self.engine_owner.bids(&engines, prefixes);
        }
        let Some(address) = self.fleet.address_of(owner) else { return Vec::new() };
        let request = Request::Engine(EngineRequest::Bid { engines, prefixes: prefixes.to_vec() });
        match self.context.transport.request(address, request, BID_TIMEOUT).await {
            Ok(Response::Engine(EngineReply::Bids(bids))) => bids,
            _ => Vec::new(),
        }
    }

    async fn enqueue(
        &self,
        usable: &[&Engine],
        placement: Placement,
        work: &EngineWork,
        queue_time: Duration,
    ) -> Result<Grant, Problem> {
        let name = placement.bid.engine;
        let engine = usable.iter().find(|engine| engine.name == name);
        let engine = engine.ok_or_else(|| owner_unreachable(&name))?;
        let owner = self.fleet.owner_of(&name, &engine.zone).ok_or_else(|| owner_unreachable(&name))?;
        if owner == self.context.own_replica.node {
            self.engine_owner.enqueue(&name, work.clone()).await?;
        } else {
            self.enqueue_remote(owner, &name, work, queue_time).await?;
        }
        Ok(Grant { engine: name, address: engine.address, owner, reason: placement.reason })
    }

    async fn enqueue_remote(
        &self,
        owner: NodeId,
        engine: &EngineName,
        work: &EngineWork,
        queue_time: Duration,
    ) -> Result<(), Problem> {
        let address = self.fleet.address_of(owner).ok_or_else(|| owner_unreachable(engine))?;
        let request = EngineRequest::Enqueue { engine: engine.clone(), work: Box::new(work.clone()) };
        let timeout = queue_time + ENQUEUE_MARGIN;
        match self.context.transport.request(address, Request::Engine(request), timeout).await {
            Ok(Response::Engine(EngineReply::Granted)) => Ok(()),
            Ok(Response::Failed(problem)) => Err(problem),
            _ => {
                // The grant may be on its way; cancel the call so that the engine's slot isn't leaked.
                let forget = OneWay::Forget { engine: engine.clone(), call: work.call };
                self.context.transport.send(address, forget);
                Err(owner_unreachable(engine))
            }
        }
    }
}

/// Engines that aren't draining and haven't failed the call. If all of them have failed it, all that aren't
/// draining.
fn usable_engines<'a>(pool: &'a Pool, failed: &[EngineName]) -> Vec<&'a Engine> {
    let available: Vec<&Engine> = pool.engines.iter().filter(|engine| !engine.is_draining).collect();
    let untried: Vec<&Engine> =
        available.iter().copied().filter(|engine| !failed.contains(&engine.name)).collect();
    if untried.is_empty() { available } else { untried }
}

/// Rejects a call whose first token is expected after its queue time has run out.
fn check_queue_time(placement: &Placement, queue_time: Duration) -> Result<(), Problem> {
    let expected = placement.bid.estimate.first_token_seconds;
    if expected <= queue_time.as_secs_f64() {
        return Ok(());
    }
    let detail = format!("the first token is expected in {expected:.1} s, after the call's deadline");
    let wait = Duration::from_secs_f64((expected - queue_time.as_secs_f64()).clamp(1.0, 60.0));
    Err(Problem::not_run(ResultCode::Overloaded, detail).with_retry_after(wait))
}

fn no_engine_available(pool: &Pool) -> Problem {
    let detail = format!("no engine of pool {} is accepting calls", pool.name);
    Problem::not_run(ResultCode::NoEngine, detail).with_retry_after(RETRY_AFTER)
}

fn owner_unreachable(engine: &EngineName) -> Problem {
    let detail = format!("the node that owns the queue of engine {engine} is unreachable");
    Problem::not_run(ResultCode::PeerUnreachable, detail).with_retry_after(RETRY_AFTER)
}

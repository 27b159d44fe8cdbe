//! Per-service queues of this node in front of the engines. [`sumacdrift_scheduling::ServiceQueue`] decides when a
//! queued call is dispatched or rejected; this module provides it with capacity and demand, and delivers its
//! decisions.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use slog::info;
use sumacdrift_calls::{CallMachine, CallMetadata, Next};
use sumacdrift_fleet_view::{ServiceDemand, service_key};
use sumacdrift_routing::{EngineCapacity, SelectedRoute};
use sumacdrift_scheduling::{
    ExpectedRetries, PriorityRank, ProgramStage, QueueTicket, QueuedCall, RankDemand, RejectionReason,
    ServiceCapacity, ServiceQueue, ServiceQueueAction, ServiceQueueSettings,
};
use sumacdrift_types::{Mechanism, Timestamp, stable_hash};
use tokio::sync::oneshot;

use crate::access::Caller;
use crate::edge::Edge;
use crate::metrics::GaugeGuard;
use crate::wire_format::WireFormat;

/// Calls that streaming engines hold in addition to their slots, as a share of them, so that none is idle until the
/// next call arrives.
const SHORT_QUEUE_SHARE: f64 = 0.25;
/// Minimum time between capacity refreshes on arrival of calls.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a non-empty queue is refreshed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum wait of a dispatched call that is logged.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(5);
/// Distinct route priorities within one tenant priority; larger values are clamped.
const ROUTE_RANKS: PriorityRank = 256;
/// Assumed duration of a call on a route without observations.
const DEFAULT_CALL_TIME: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
pub(crate) struct ServiceQueues {
    state: Mutex<QueuesState>,
    /// Whether the configuration assigns priorities. Calls are not queued otherwise.
    has_ranks: AtomicBool,
}

#[derive(Debug, Default)]
struct QueuesState {
    services: HashMap<Arc<str>, QueuedService>,
    /// Latest demand reported by other nodes, by service key.
    peer_demand: HashMap<u32, Vec<RankDemand>>,
    expected_retries: ExpectedRetries,
    last_ticket: u64,
}

#[derive(Debug)]
struct QueuedService {
    queue: ServiceQueue,
    waiters: HashMap<QueueTicket, oneshot::Sender<ServiceQueueAction>>,
    /// See [`SHORT_QUEUE_SHARE`]; 0 for services that don't stream.
    short_queue_share: f64,
    refreshed_at: Option<Timestamp>,
    is_refreshing: bool,
}

impl QueuedService {
    fn new(short_queue_share: f64, node_number: u64) -> Self {
        let settings =
            ServiceQueueSettings { node_number: Some(node_number), ..ServiceQueueSettings::default() };
        Self {
            queue: ServiceQueue::new(settings),
            waiters: HashMap::new(),
            short_queue_share,
            refreshed_at: None,
            is_refreshing: false,
        }
    }

    /// Delivers decisions to the waiting calls.
    fn deliver(&mut self, actions: Vec<ServiceQueueAction>) {
        for action in actions {
            let ticket = match action {
                ServiceQueueAction::Admit { ticket, .. } | ServiceQueueAction::Reject { ticket, .. } => {
                    ticket
                }
            };
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // The receiver was dropped if the caller disconnected; dropping its slot removes the call from the
                // queue.
                let _ = waiter.send(action);
            }
        }
    }

    fn update_capacity(
        &mut self,
        capacity: EngineCapacity,
        mut peer_demand: Vec<RankDemand>,
        now: Timestamp,
    ) {
        self.refreshed_at = Some(now);
        for demand in &mut peer_demand {
            demand.running *= capacity.peer_share;
            demand.waiting *= capacity.peer_share;
        }
        let slots = capacity.slots as f64;
        let reported: f64 = peer_demand.iter().map(|demand| demand.running).sum();
        let capacity = (capacity.slots > 0).then_some(ServiceCapacity {
            slots,
            short_queue: slots * self.short_queue_share,
            unranked: (capacity.peer_running - reported).max(0.0),
        });
        let actions = self.queue.update_capacity(capacity, peer_demand, now);
        self.deliver(actions);
    }

    fn is_stale(&self, now: Timestamp) -> bool {
        self.refreshed_at.is_none_or(|refreshed_at| now.since(refreshed_at) >= MIN_REFRESH_INTERVAL)
    }
}

impl ServiceQueues {
    /// Applies a new configuration.
    pub(crate) fn apply_configuration(&self, has_ranks: bool) {
        self.has_ranks.store(has_ranks, Ordering::Release);
    }

    /// Demand of this node, to be reported to others.
    pub(crate) fn demands(&self, now: Timestamp) -> Vec<ServiceDemand> {
        if !self.has_ranks.load(Ordering::Acquire) {
            return Vec::new();
        }
        let state = self.state();
        let service_demand = |(name, service): (&Arc<str>, &QueuedService)| {
            let key = service_key(name);
            let demand = service.queue.demand(now);
            demand.into_iter().map(move |demand| demand_report(key, &demand)).collect::<Vec<_>>()
        };
        state.services.iter().flat_map(service_demand).collect()
    }

    fn state(&self) -> MutexGuard<'_, QueuesState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn demand_report(service: u32, demand: &RankDemand) -> ServiceDemand {
    let (running, waiting) = (demand.running as u32, demand.waiting as u32);
    ServiceDemand { service, rank: demand.rank, running, waiting }
}

/// A call to enqueue.
pub(crate) struct EnqueueRequest<'a> {
    pub(crate) head: &'a CallMetadata,
    pub(crate) caller: &'a Caller,
    pub(crate) selected: &'a SelectedRoute,
    pub(crate) machine: &'a CallMachine,
    pub(crate) accepted: Timestamp,
    pub(crate) bytes: usize,
    /// Whether earlier calls of its program have been served.
    pub(crate) has_started: bool,
}

impl EnqueueRequest<'_> {
    /// Priority of the tenant, then of the route.
    fn rank(&self) -> PriorityRank {
        let route_priority = self.selected.route.rules.priority.min(ROUTE_RANKS - 1);
        let tenant_priority = self.caller.tenant.as_ref().and_then(|tenant| tenant.priority);
        tenant_priority.unwrap_or(route_priority).saturating_mul(ROUTE_RANKS).saturating_add(route_priority)
    }

    fn program(&self) -> Option<u64> {
        let program = self.head.program.as_ref()?;
        Some(stable_hash(&[self.caller.name_in_ledger(&program.program).as_bytes()]))
    }
}

/// A call's place in its service's queue, and then its slot at the engines. Dropping it frees either.
pub(crate) struct QueueSlot<D: WireFormat> {
    edge: Arc<Edge<D>>,
    service: Arc<str>,
    ticket: QueueTicket,
    /// Time spent in the queue.
    pub(crate) waited: Duration,
    was_served: AtomicBool,
}

impl<D: WireFormat> QueueSlot<D> {
    /// Marks the call as served. Only served calls count in the queue's estimate of call durations.
    pub(crate) fn mark_served(&self) {
        self.was_served.store(true, Ordering::Relaxed);
    }

    /// When the caller should retry a call that no engine accepted.
    pub(crate) fn retry_delay(&self) -> Option<Duration> {
        let now = self.edge.clock.now();
        let mut state = self.edge.queues.state();
        let service = state.services.get_mut(&self.service)?;
        Some(service.queue.retry_after_engine_rejection(now))
    }
}

impl<D: WireFormat> Drop for QueueSlot<D> {
    fn drop(&mut self) {
        let now = self.edge.clock.now();
        let mut state = self.edge.queues.state();
        let Some(service) = state.services.get_mut(&self.service) else { return };
        service.waiters.remove(&self.ticket);
        let actions = match self.was_served.load(Ordering::Relaxed) {
            true => service.queue.record_completed(self.ticket, now),
            false => service.queue.record_abandoned(self.ticket, now),
        };
        service.deliver(actions);
    }
}

impl<D: WireFormat> Edge<D> {
    /// Waits until the call is dispatched or rejected. `None` if calls are not queued.
    pub(crate) async fn wait_for_slot(
        self: &Arc<Self>,
        request: EnqueueRequest<'_>,
    ) -> Result<Option<QueueSlot<D>>, Next> {
        let is_on = self.settings.disabled.is_enabled(Mechanism::WaitingQueue);
        if !is_on || !self.queues.has_ranks.load(Ordering::Acquire) {
            return Ok(None);
        }
        let (mut slot, decision) = self.enqueue(&request);
        let waiting = GaugeGuard::increment(&self.metrics.queued);
        let action = decision.await;
        drop(waiting);
        match action {
            Ok(ServiceQueueAction::Admit { waited, .. }) => {
                slot.waited = waited;
                self.report_dispatched(&request, waited);
                Ok(Some(slot))
            }
            Ok(ServiceQueueAction::Reject { reason, waited, expected_wait, retry_after, .. }) => {
                if let Some(program) = request.program().filter(|_| !request.has_started) {
                    self.queues.state().expected_retries.record_rejection(
                        program,
                        retry_after,
                        self.clock.now(),
                    );
                }
                self.report_rejected(&request, reason, waited, expected_wait, retry_after);
                Err(request.machine.reject_overloaded(retry_after))
            }
            // The queue was removed: the call continues as if the service had none.
            Err(_) => Ok(None),
        }
    }

    /// Adds a call to its service's queue.
    fn enqueue(
        self: &Arc<Self>,
        request: &EnqueueRequest<'_>,
    ) -> (QueueSlot<D>, oneshot::Receiver<ServiceQueueAction>) {
        let now = self.clock.now();
        let name = &request.selected.service.name;
        let (sender, decision) = oneshot::channel();
        let mut state = self.queues.state();
        state.last_ticket += 1;
        let ticket = QueueTicket(state.last_ticket);
        let is_expected =
            request.program().is_some_and(|program| state.expected_retries.is_expected(program, now));
        let stage = match (request.has_started, is_expected) {
            (true, _) => ProgramStage::InProgress,
            (false, true) => ProgramStage::Returning,
            (false, false) => ProgramStage::New,
        };
        let call = self.queued_call(request, stage);
        self.refresh_if_stale(&mut state, name, is_stream(request), now);
        if let Some(service) = state.services.get_mut(name) {
            service.waiters.insert(ticket, sender);
            let actions = service.queue.enqueue(ticket, call, now);
            service.deliver(actions);
            if service.queue.waiting() > 0 && !service.is_refreshing {
                service.is_refreshing = true;
                tokio::spawn(refresh_until_empty(Arc::downgrade(self), Arc::clone(name)));
            }
        }
        let (edge, service) = (Arc::clone(self), Arc::clone(name));
        let was_served = AtomicBool::new(false);
        let slot = QueueSlot { edge, service, ticket, waited: Duration::ZERO, was_served };
        (slot, decision)
    }

    fn queued_call(&self, request: &EnqueueRequest<'_>, stage: ProgramStage) -> QueuedCall {
        let program = request.head.program.as_ref();
        let time_left = program.and_then(|program| program.time_left);
        let typical = self.route_durations().average(&request.selected.route.name);
        QueuedCall {
            rank: request.rank(),
            stage,
            program_deadline: time_left.map(|left| request.accepted + left),
            deadline: request.machine.deadline(),
            expected_duration: typical.unwrap_or(DEFAULT_CALL_TIME),
            bytes: request.bytes,
        }
    }

    /// Refreshes a service's capacity if it is stale.
    fn refresh_if_stale(&self, state: &mut QueuesState, name: &Arc<str>, is_stream: bool, now: Timestamp) {
        let short_queue_share = if is_stream { SHORT_QUEUE_SHARE } else { 0.0 };
        let service = state.services.entry(Arc::clone(name));
        let service = service.or_insert_with(|| {
            let node_number = stable_hash(&[self.settings.node.as_bytes(), name.as_bytes()]);
            QueuedService::new(short_queue_share, node_number)
        });
        if service.is_stale(now) {
            self.refresh(service, name, &state.peer_demand, now);
        }
    }

    /// Updates a queue with the current capacity and the demand of other nodes.
    fn refresh(
        &self,
        service: &mut QueuedService,
        name: &str,
        peer_demand: &HashMap<u32, Vec<RankDemand>>,
        now: Timestamp,
    ) {
        let capacity = self.engines().capacity(name, now);
        let peer_demand = peer_demand.get(&service_key(name)).cloned().unwrap_or_default();
        service.update_capacity(capacity, peer_demand, now);
    }

    /// Replaces the demand reported by other nodes.
    pub(crate) fn update_peer_demand(&self, demands: &[ServiceDemand]) {
        let now = self.clock.now();
        let mut peer_demand: HashMap<u32, Vec<RankDemand>> = HashMap::new();
        for demand in demands {
            let (running, waiting) = (f64::from(demand.running), f64::from(demand.waiting));
            let rank_demand = RankDemand { rank: demand.rank, running, waiting };
            peer_demand.entry(demand.service).or_default().push(rank_demand);
        }
        let mut state = self.queues.state();
        for (name, service) in &mut state.services {
            self.refresh(service, name, &peer_demand, now);
        }
        state.peer_demand = peer_demand;
    }

    fn report_dispatched(&self, request: &EnqueueRequest<'_>, waited: Duration) {
        self.metrics.wait_seconds.observe(waited.as_secs_f64());
        if waited >= MIN_LOGGED_WAIT {
            let snapshot = self.queue_snapshot(&request.selected.service.name);
            info!(self.logger, "call dispatched from the queue"; "event" => "let_in", "call" => &request.head.id,
                "service" => &*request.selected.service.name, "rank" => request.rank(),
                "is_under_way" => request.has_started, "waited_ms" => waited.as_millis() as u64,
                "waiting" => snapshot.waiting, "running" => snapshot.running, "slots" => snapshot.slots,
                "others_age_ms" => snapshot.peer_age_millis);
        }
    }

    fn report_rejected(
        &self,
        request: &EnqueueRequest<'_>,
        reason: RejectionReason,
        waited: Duration,
        expected_wait: Duration,
        retry_after: Duration,
    ) {
        self.metrics.record_rejection(reason);
        let snapshot = self.queue_snapshot(&request.selected.service.name);
        info!(self.logger, "call rejected by the queue"; "event" => "no_room", "call" => &request.head.id,
            "service" => &*request.selected.service.name, "rank" => request.rank(),
            "reason" => reason.as_str(), "is_under_way" => request.has_started,
            "waited_ms" => waited.as_millis() as u64, "expected_wait_ms" => expected_wait.as_millis() as u64,
            "retry_after_ms" => retry_after.as_millis() as u64,
            "waiting" => snapshot.waiting, "running" => snapshot.running, "slots" => snapshot.slots,
            "others_age_ms" => snapshot.peer_age_millis);
    }

    /// State of a queue, for the log.
    fn queue_snapshot(&self, name: &Arc<str>) -> QueueSnapshot {
        let age = self.engines().peer_report_age(self.clock.now());
        let state = self.queues.state();
        let queue = state.services.get(name).map(|service| &service.queue);
        QueueSnapshot {
            waiting: queue.map_or(0, ServiceQueue::waiting),
            running: queue.map_or(0, ServiceQueue::running),
            slots: queue.and_then(ServiceQueue::capacity).map_or(0, |capacity| capacity.slots as usize),
            peer_age_millis: age.map(|age| age.as_millis() as u64),
        }
    }
}

struct QueueSnapshot {
    waiting: usize,
    running: usize,
    slots: usize,
    peer_age_millis: Option<u64>,
}

fn is_stream(request: &EnqueueRequest<'_>) -> bool {
    request.selected.route.rules.kind.is_stream()
}

/// Refreshes a service's queue at intervals until it is empty.
async fn refresh_until_empty<D: WireFormat>(edge: Weak<Edge<D>>, name: Arc<str>) {
    loop {
        tokio::time::sleep(REFRESH_INTERVAL).await;
        let Some(edge) = edge.upgrade() else { return };
        let now = edge.clock.now();
        let mut state = edge.queues.state();
        let QueuesState { services, peer_demand, .. } = &mut *state;
        let Some(service) = services.get_mut(&name) else { return };
        if service.queue.waiting() == 0 {
            service.is_refreshing = false;
            return;
        }
        edge.refresh(service, &name, peer_demand, now);
    }
}

//! The queues of this node before the engines of services: calls wait here for their turn, see
//! [`sumacdrift_scheduling::ServiceQueue`], which decides. This carries out what it says, and tells it of room and demand.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use slog::info;
use sumacdrift_calls::{CallHead, CallMachine, Next};
use sumacdrift_fleet_view::{ServiceDemand, service_key};
use sumacdrift_routing::{EngineRoom, Selected};
use sumacdrift_scheduling::{
    PriorityRank, ProgramStage, QueueTicket, QueuedCall, RankDemand, RefusalReason, ReturningPrograms,
    ServiceQueue, ServiceQueueAction, ServiceQueueSettings, ServiceRoom,
};
use sumacdrift_types::{Mechanism, Timestamp, stable_hash};
use tokio::sync::oneshot;

use crate::access::Caller;
use crate::dialect::Dialect;
use crate::edge::Edge;
use crate::metrics::UnderWay;

/// Share of their slots that engines which stream hold besides, so that none is idle while the next call is on its way.
const SHORT_QUEUE_SHARE: f64 = 0.25;
/// Least time between two looks at the room when calls arrive.
const LOOK_AT_ROOM_EVERY: Duration = Duration::from_millis(20);
/// How often calls that wait are looked at while nothing else happens.
const TICK: Duration = Duration::from_millis(25);
/// Waits that are logged: shorter ones decide nothing.
const LOGGED_WAIT: Duration = Duration::from_millis(5);
/// Route priorities told apart within one tenant priority; larger ones count as the last.
const ROUTE_RANKS: PriorityRank = 256;
/// How long calls are believed to take at an engine before some were seen.
const STARTING_TIME: Duration = Duration::from_millis(50);

/// The queues of all services.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueues {
    state: Mutex<QueuesState>,
    /// Whether the configuration tells callers apart by rank.
    has_ranks: AtomicBool,
}

#[derive(Debug, Default)]
struct QueuesState {
    services: HashMap<Arc<str>, QueuedService>,
    /// Demand of other nodes by service key, as told last.
    others: HashMap<u32, Vec<RankDemand>>,
    returning: ReturningPrograms,
    last_ticket: u64,
}

#[derive(Debug)]
struct QueuedService {
    queue: ServiceQueue,
    waiters: HashMap<QueueTicket, oneshot::Sender<ServiceQueueAction>>,
    /// Share of its slots that an engine holds besides.
    short_queue_share: f64,
    looked_at: Option<Timestamp>,
    is_ticking: bool,
}

impl QueuedService {
    fn new(short_queue_share: f64, node_number: u64) -> Self {
        let settings =
            ServiceQueueSettings { node_number: Some(node_number), ..ServiceQueueSettings::default() };
        Self {
            queue: ServiceQueue::new(settings),
            waiters: HashMap::new(),
            short_queue_share,
            looked_at: None,
            is_ticking: false,
        }
    }

    /// Tells calls what was decided on them.
    fn carry_out(&mut self, actions: Vec<ServiceQueueAction>) {
        for action in actions {
            let ticket = match action {
                ServiceQueueAction::LetIn { ticket, .. } | ServiceQueueAction::Refuse { ticket, .. } => {
                    ticket
                }
            };
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // A call whose caller has left ends its ticket itself.
                let _ = waiter.send(action);
            }
        }
    }

    fn look_at(&mut self, room: EngineRoom, mut others: Vec<RankDemand>, now: Timestamp) {
        self.looked_at = Some(now);
        for demand in &mut others {
            demand.running *= room.others_share;
            demand.waiting *= room.others_share;
        }
        let slots = room.slots as f64;
        let told: f64 = others.iter().map(|demand| demand.running).sum();
        let room = (room.slots > 0).then_some(ServiceRoom {
            slots,
            short_queue: slots * self.short_queue_share,
            unranked: (room.others_running - told).max(0.0),
        });
        let actions = self.queue.room_changed(room, others, now);
        self.carry_out(actions);
    }

    fn is_due(&self, now: Timestamp) -> bool {
        self.looked_at.is_none_or(|looked_at| now.since(looked_at) >= LOOK_AT_ROOM_EVERY)
    }
}

impl ServiceQueues {
    /// A configuration came in force.
    pub(crate) fn configured(&self, has_ranks: bool) {
        self.has_ranks.store(has_ranks, Ordering::Release);
    }

    /// This node's calls, for other nodes.
    pub(crate) fn demands(&self, now: Timestamp) -> Vec<ServiceDemand> {
        if !self.has_ranks.load(Ordering::Acquire) {
            return Vec::new();
        }
        let state = self.state();
        let of_service = |(name, service): (&Arc<str>, &QueuedService)| {
            let key = service_key(name);
            let demand = service.queue.demand(now);
            demand.into_iter().map(move |demand| told_demand(key, &demand)).collect::<Vec<_>>()
        };
        state.services.iter().flat_map(of_service).collect()
    }

    fn state(&self) -> MutexGuard<'_, QueuesState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn told_demand(service: u32, demand: &RankDemand) -> ServiceDemand {
    let (running, waiting) = (demand.running as u32, demand.waiting as u32);
    ServiceDemand { service, rank: demand.rank, running, waiting }
}

/// A call that wants to use a service.
pub(crate) struct RoomRequest<'a> {
    pub(crate) head: &'a CallHead,
    pub(crate) caller: &'a Caller,
    pub(crate) selected: &'a Selected,
    pub(crate) machine: &'a CallMachine,
    pub(crate) accepted: Timestamp,
    pub(crate) bytes: usize,
    /// Whether earlier calls of its program were answered.
    pub(crate) is_under_way: bool,
}

impl RoomRequest<'_> {
    /// Rank of the tenant, then of the route.
    fn rank(&self) -> PriorityRank {
        let of_route = self.selected.route.rules.priority.min(ROUTE_RANKS - 1);
        let of_tenant = self.caller.tenant.as_ref().and_then(|tenant| tenant.priority);
        of_tenant.unwrap_or(of_route).saturating_mul(ROUTE_RANKS).saturating_add(of_route)
    }

    fn program(&self) -> Option<u64> {
        let program = self.head.program.as_ref()?;
        Some(stable_hash(&[self.caller.name_in_ledger(&program.program).as_bytes()]))
    }
}

/// A call that may use a service's engines; its place is free again when this is dropped.
pub(crate) struct RoomHeld<D: Dialect> {
    edge: Arc<Edge<D>>,
    service: Arc<str>,
    ticket: QueueTicket,
    /// How long it waited.
    pub(crate) waited: Duration,
    was_served: AtomicBool,
}

impl<D: Dialect> RoomHeld<D> {
    /// An engine served the call.
    pub(crate) fn note_served(&self) {
        self.was_served.store(true, Ordering::Relaxed);
    }

    /// When the caller is to come back of a call that no engine took.
    pub(crate) fn return_time(&self) -> Option<Duration> {
        let now = self.edge.clock.now();
        let mut state = self.edge.queues.state();
        let service = state.services.get_mut(&self.service)?;
        Some(service.queue.return_of_turned_away(now))
    }
}

impl<D: Dialect> Drop for RoomHeld<D> {
    fn drop(&mut self) {
        let now = self.edge.clock.now();
        let mut state = self.edge.queues.state();
        let Some(service) = state.services.get_mut(&self.service) else { return };
        service.waiters.remove(&self.ticket);
        let actions = match self.was_served.load(Ordering::Relaxed) {
            true => service.queue.ended(self.ticket, now),
            false => service.queue.gave_up(self.ticket, now),
        };
        service.carry_out(actions);
    }
}

impl<D: Dialect> Edge<D> {
    /// Waits until there is room for a call at its service. `None` where calls aren't put in order.
    pub(crate) async fn wait_for_room(
        self: &Arc<Self>,
        request: RoomRequest<'_>,
    ) -> Result<Option<RoomHeld<D>>, Next> {
        let is_on = self.settings.off.allows(Mechanism::WaitingQueue);
        if !is_on || !self.queues.has_ranks.load(Ordering::Acquire) {
            return Ok(None);
        }
        let (mut held, verdict) = self.arrive(&request);
        let waiting = UnderWay::begin(&self.metrics.waiting);
        let action = verdict.await;
        drop(waiting);
        match action {
            Ok(ServiceQueueAction::LetIn { waited, .. }) => {
                held.waited = waited;
                self.report_let_in(&request, waited);
                Ok(Some(held))
            }
            Ok(ServiceQueueAction::Refuse { reason, waited, expected_wait, retry_after, .. }) => {
                if let Some(program) = request.program().filter(|_| !request.is_under_way) {
                    self.queues.state().returning.told(program, retry_after, self.clock.now());
                }
                self.report_no_room(&request, reason, waited, expected_wait, retry_after);
                Err(request.machine.no_room(retry_after))
            }
            // Nobody decides any more: the call goes on as if there were no queue.
            Err(_) => Ok(None),
        }
    }

    /// Puts a call in its queue.
    fn arrive(
        self: &Arc<Self>,
        request: &RoomRequest<'_>,
    ) -> (RoomHeld<D>, oneshot::Receiver<ServiceQueueAction>) {
        let now = self.clock.now();
        let name = &request.selected.service.name;
        let (sender, verdict) = oneshot::channel();
        let mut state = self.queues.state();
        state.last_ticket += 1;
        let ticket = QueueTicket(state.last_ticket);
        let is_returning =
            request.program().is_some_and(|program| state.returning.is_returning(program, now));
        let stage = match (request.is_under_way, is_returning) {
            (true, _) => ProgramStage::UnderWay,
            (false, true) => ProgramStage::Returning,
            (false, false) => ProgramStage::New,
        };
        let call = self.queued_call(request, stage);
        self.look_at_room(&mut state, name, is_stream(request), now);
        if let Some(service) = state.services.get_mut(name) {
            service.waiters.insert(ticket, sender);
            let actions = service.queue.arrived(ticket, call, now);
            service.carry_out(actions);
            if service.queue.waiting() > 0 && !service.is_ticking {
                service.is_ticking = true;
                tokio::spawn(tick(Arc::downgrade(self), Arc::clone(name)));
            }
        }
        let (edge, service) = (Arc::clone(self), Arc::clone(name));
        let was_served = AtomicBool::new(false);
        let held = RoomHeld { edge, service, ticket, waited: Duration::ZERO, was_served };
        (held, verdict)
    }

    fn queued_call(&self, request: &RoomRequest<'_>, stage: ProgramStage) -> QueuedCall {
        let program = request.head.program.as_ref();
        let time_left = program.and_then(|program| program.time_left);
        let usual = self.usual_times().of(&request.selected.route.name);
        QueuedCall {
            rank: request.rank(),
            stage,
            program_end: time_left.map(|left| request.accepted + left),
            deadline: request.machine.deadline(),
            usual_time: usual.unwrap_or(STARTING_TIME),
            bytes: request.bytes,
        }
    }

    /// Looks at a service's room anew where it was looked at too long ago.
    fn look_at_room(&self, state: &mut QueuesState, name: &Arc<str>, is_stream: bool, now: Timestamp) {
        let short_queue_share = if is_stream { SHORT_QUEUE_SHARE } else { 0.0 };
        let service = state.services.entry(Arc::clone(name));
        let service = service.or_insert_with(|| {
            let node_number = stable_hash(&[self.settings.node.as_bytes(), name.as_bytes()]);
            QueuedService::new(short_queue_share, node_number)
        });
        if service.is_due(now) {
            self.refresh(service, name, &state.others, now);
        }
    }

    /// Tells a queue of the room and of others' demand.
    fn refresh(
        &self,
        service: &mut QueuedService,
        name: &str,
        others: &HashMap<u32, Vec<RankDemand>>,
        now: Timestamp,
    ) {
        let room = self.book().room(name, now);
        let others = others.get(&service_key(name)).cloned().unwrap_or_default();
        service.look_at(room, others, now);
    }

    /// Other nodes told of their calls.
    pub(crate) fn others_demand(&self, demands: &[ServiceDemand]) {
        let now = self.clock.now();
        let mut others: HashMap<u32, Vec<RankDemand>> = HashMap::new();
        for demand in demands {
            let (running, waiting) = (f64::from(demand.running), f64::from(demand.waiting));
            let demand_of_rank = RankDemand { rank: demand.rank, running, waiting };
            others.entry(demand.service).or_default().push(demand_of_rank);
        }
        let mut state = self.queues.state();
        for (name, service) in &mut state.services {
            self.refresh(service, name, &others, now);
        }
        state.others = others;
    }

    fn report_let_in(&self, request: &RoomRequest<'_>, waited: Duration) {
        self.metrics.wait_seconds.observe(waited.as_secs_f64());
        if waited >= LOGGED_WAIT {
            let seen = self.queue_seen(&request.selected.service.name);
            info!(self.logger, "let in"; "event" => "let_in", "call" => &request.head.id,
                "service" => &*request.selected.service.name, "rank" => request.rank(),
                "is_under_way" => request.is_under_way, "waited_ms" => waited.as_millis() as u64,
                "waiting" => seen.waiting, "running" => seen.running, "slots" => seen.slots,
                "others_age_ms" => seen.others_age_millis);
        }
    }

    fn report_no_room(
        &self,
        request: &RoomRequest<'_>,
        reason: RefusalReason,
        waited: Duration,
        expected_wait: Duration,
        retry_after: Duration,
    ) {
        self.metrics.refused_for_room(reason);
        let seen = self.queue_seen(&request.selected.service.name);
        info!(self.logger, "no room"; "event" => "no_room", "call" => &request.head.id,
            "service" => &*request.selected.service.name, "rank" => request.rank(),
            "reason" => reason.as_str(), "is_under_way" => request.is_under_way,
            "waited_ms" => waited.as_millis() as u64, "expected_wait_ms" => expected_wait.as_millis() as u64,
            "retry_after_ms" => retry_after.as_millis() as u64,
            "waiting" => seen.waiting, "running" => seen.running, "slots" => seen.slots,
            "others_age_ms" => seen.others_age_millis);
    }

    /// A queue as decisions saw it, for the log.
    fn queue_seen(&self, name: &Arc<str>) -> QueueSeen {
        let age = self.book().others_age(self.clock.now());
        let state = self.queues.state();
        let queue = state.services.get(name).map(|service| &service.queue);
        QueueSeen {
            waiting: queue.map_or(0, ServiceQueue::waiting),
            running: queue.map_or(0, ServiceQueue::running),
            slots: queue.and_then(ServiceQueue::room).map_or(0, |room| room.slots as usize),
            others_age_millis: age.map(|age| age.as_millis() as u64),
        }
    }
}

/// What a log line tells of a queue.
struct QueueSeen {
    waiting: usize,
    running: usize,
    slots: usize,
    others_age_millis: Option<u64>,
}

fn is_stream(request: &RoomRequest<'_>) -> bool {
    request.selected.route.rules.kind.is_stream()
}

/// Looks at the calls that wait for a service for as long as there are any.
async fn tick<D: Dialect>(edge: Weak<Edge<D>>, name: Arc<str>) {
    loop {
        tokio::time::sleep(TICK).await;
        let Some(edge) = edge.upgrade() else { return };
        let now = edge.clock.now();
        let mut state = edge.queues.state();
        let QueuesState { services, others, .. } = &mut *state;
        let Some(service) = services.get_mut(&name) else { return };
        if service.queue.waiting() == 0 {
            service.is_ticking = false;
            return;
        }
        edge.refresh(service, &name, others, now);
    }
}

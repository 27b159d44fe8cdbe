//! Attempts of a call: engine selection, sending the request, and classifying the response head.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Method, Request, Uri, request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use sumacdrift_calls::{
    CallMachine, CallMetadata, EngineId, EngineVersion, Failure, Next, RequestContent, RequestFingerprint,
};
use sumacdrift_routing::{
    Outcome, Permit, Placement, PlacementRequest, RequestedWork, RequiredPart, SelectedRoute, UrgencyInput,
    urgency,
};
use sumacdrift_types::{AllowedRegions, Mechanism, ResultCode, Timestamp, stable_hash};

use crate::access::Caller;
use crate::edge::Edge;
use crate::engine_pool::{ConnectionReuse, PoolResponse, SendError};
use crate::engine_run::EngineRun;
use crate::headers::without_hop_by_hop;
use crate::open_attempt::CurrentAttempt;
use crate::service_queues::QueueSlot;
use crate::turn::OpenTurn;
use crate::wire_format::{EngineAttempt, KeyHandling, ResponseIdentity, ResponseKind, WireFormat};

/// Assumed duration of a buffered call on a route without observations.
const DEFAULT_CALL_TIME: Duration = Duration::from_millis(50);
const BYTES_PER_KILOBYTE: f64 = 1e3;

/// The request to engines, the same for every attempt.
pub(crate) struct ForwardedRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ForwardedRequest {
    pub(crate) fn new<D: WireFormat>(
        wire_format: &D,
        caller: &Caller,
        head: &request::Parts,
        body: Bytes,
    ) -> Self {
        let keys =
            if caller.has_checked_key { KeyHandling::CheckedByEdge } else { KeyHandling::ForwardedToEngines };
        let mut headers = without_hop_by_hop(&head.headers);
        wire_format.remove_reserved_headers(&mut headers, keys);
        let path = head.uri.path_and_query().cloned();
        let uri = path.map_or_else(|| head.uri.clone(), Uri::from);
        Self { method: head.method.clone(), uri, headers, body }
    }

    pub(crate) fn host(&self) -> Option<&str> {
        self.headers.get(HOST)?.to_str().ok()
    }
}

/// State of a call that its attempts share.
pub(crate) struct CallContext<D: WireFormat> {
    pub(crate) edge: Arc<Edge<D>>,
    pub(crate) head: CallMetadata,
    pub(crate) caller: Caller,
    pub(crate) selected: SelectedRoute,
    pub(crate) forwarded: ForwardedRequest,
    /// Prompt parts of a stream; empty for other calls.
    pub(crate) parts: Vec<RequiredPart>,
    pub(crate) accepted: Timestamp,
    pub(crate) regions: AllowedRegions,
    /// The slot that the call holds in its service's queue; `None` if calls are not queued.
    pub(crate) slot: Option<QueueSlot<D>>,
    pub(crate) attempt: CurrentAttempt,
    /// Computed when it is first needed, which it is for few calls.
    pub(crate) fingerprint: OnceLock<RequestFingerprint>,
}

impl<D: WireFormat> CallContext<D> {
    /// Fingerprint of the call's request.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let ForwardedRequest { method, uri, body, .. } = &self.forwarded;
            RequestFingerprint::of(&RequestContent {
                tenant: self.caller.tenant.as_ref().map_or("", |tenant| &tenant.name),
                host: self.forwarded.host().unwrap_or_default(),
                method: method.as_str(),
                path_and_query: uri.path_and_query().map_or("", |path| path.as_str()),
                body,
                metadata: &self.head,
            })
        })
    }

    /// Records how long a served call took since it was accepted, without its time in the queue.
    pub(crate) fn observe_served(&self, elapsed: Duration) {
        let waited = self.slot.as_ref().map_or(Duration::ZERO, |slot| slot.waited);
        self.edge.route_durations().observe(&self.selected.route.name, elapsed.saturating_sub(waited));
    }

    /// Average duration of the route's calls; `None` if there are no observations.
    pub(crate) fn typical_time(&self) -> Option<Duration> {
        self.edge.route_durations().average(&self.selected.route.name)
    }

    fn no_engine_code(&self, machine: &CallMachine) -> ResultCode {
        if machine.stream_version().is_some() {
            return ResultCode::NoEngineOfVersion;
        }
        if self.regions.is_unrestricted() { ResultCode::NoEngine } else { ResultCode::NoEngineInRegion }
    }

    fn has_sticky_affinity(&self) -> bool {
        self.selected.route.is_sticky && self.head.affinity.is_some()
    }

    /// Tie-breaker among equal engines: calls of the same program, or with the same affinity on a sticky route,
    /// prefer the same engine; other calls are spread randomly.
    fn placement_key(&self) -> u64 {
        let is_stream = self.selected.route.rules.kind.is_stream();
        let program = self.head.program.as_ref().filter(|_| is_stream);
        let affinity = self.head.affinity.as_ref().filter(|_| self.has_sticky_affinity());
        match program.map(|program| &program.program).or(affinity) {
            Some(key) => stable_hash(&[key.as_bytes()]),
            None => rand::random(),
        }
    }
}

/// An engine's response that may be forwarded.
pub(crate) struct EngineResponse<D: WireFormat> {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) run: EngineRun<D>,
}

/// Attempts engines until one responds or the call fails. `turn` is the open turn in which the origin of the call's stream
/// is recorded, if it has to be.
pub(crate) async fn attempt_until_response<D: WireFormat>(
    call: &CallContext<D>,
    machine: &mut CallMachine,
    mut turn: Option<&mut OpenTurn>,
    first: Next,
) -> Result<EngineResponse<D>, Next> {
    let mut next = first;
    let permit_deadline = call.edge.permit_wait_deadline(machine);
    loop {
        let Next::Try { avoid, rather_not, only, version } = next else { return Err(next) };
        if let Some(end) = call.end_if_quarantined(machine) {
            return Err(end);
        }
        if let Err(code) = call.edge.recheck_access(&call.head, &call.caller) {
            return Err(machine.end_denied(code));
        }
        if call.edge.clock.now() >= machine.deadline() {
            return Err(machine.end_expired());
        }
        let restrictions = Restrictions {
            avoid: &avoid,
            deprioritized: &rather_not,
            only: only.as_ref(),
            version: version.as_ref(),
        };
        let (placement, permit) = match select_engine(call, machine, &restrictions, permit_deadline).await {
            Selection::Selected(placement, permit) => (placement, permit),
            Selection::PermitDenied => {
                next = Next::Try { avoid, rather_not, only, version };
                continue;
            }
            Selection::NoEngine => return Err(machine.end_without_engine(call.no_engine_code(machine))),
        };
        if let Some(turn) = turn.as_deref_mut()
            && let Err(code) = call.record_origin(machine, turn, &placement).await
        {
            return Err(machine.end_without_engine(code));
        }
        let is_reported = call.report_before_sending(machine, &placement).await?;
        let sent = call.record_sent(machine, &placement, is_reported);
        match try_engine(call, machine, &placement, permit).await {
            Ok(response) => {
                return Ok(response);
            }
            Err(failure) => {
                next = call.record_failure(machine, &placement, sent, failure).await;
                call.report_failure(&placement, failure, &next);
            }
        }
    }
}

/// Restrictions from earlier attempts, see [`Next::Try`].
#[derive(Default)]
pub(crate) struct Restrictions<'a> {
    avoid: &'a [EngineId],
    deprioritized: &'a [EngineId],
    only: Option<&'a EngineId>,
    version: Option<&'a EngineVersion>,
}

enum Selection {
    /// With a permit if the engine is cold.
    Selected(Placement, Option<Permit>),
    /// No permit is available now; select again, as other engines may be eligible.
    PermitDenied,
    NoEngine,
}

/// Selects an engine and acquires a permit if it is cold. If only cold engines without a permit are eligible, waits
/// until the next permit may be requested, since a rejected caller has few retries.
async fn select_engine<D: WireFormat>(
    call: &CallContext<D>,
    machine: &CallMachine,
    restrictions: &Restrictions<'_>,
    permit_deadline: Timestamp,
) -> Selection {
    let edge = &call.edge;
    let Some(placement) = choose_eligible(call, restrictions) else {
        let now = edge.clock.now();
        let next_permit =
            with_placement_request(call, restrictions, |request| edge.engines().next_permit_at(request, now));
        return match next_permit.filter(|next_permit| *next_permit <= permit_deadline) {
            Some(next_permit) => {
                tokio::time::sleep_until(edge.clock.instant(next_permit)).await;
                Selection::PermitDenied
            }
            None => Selection::NoEngine,
        };
    };
    let Some(cold) = placement.cold else { return Selection::Selected(placement, None) };
    match edge.acquire_permit(&call.head, &placement.engine, cold, machine).await {
        Some(permit) => Selection::Selected(placement, Some(permit)),
        None => Selection::PermitDenied,
    }
}

pub(crate) fn choose_eligible<D: WireFormat>(
    call: &CallContext<D>,
    restrictions: &Restrictions<'_>,
) -> Option<Placement> {
    let now = call.edge.clock.now();
    with_placement_request(call, restrictions, |request| call.edge.engines().choose(request, now))
}

/// Calls `ask` with the call's placement request.
fn with_placement_request<D: WireFormat, T>(
    call: &CallContext<D>,
    restrictions: &Restrictions<'_>,
    ask: impl FnOnce(&PlacementRequest<'_>) -> T,
) -> T {
    let work = match call.selected.route.rules.kind.is_stream() {
        true => RequestedWork::Stream { parts: &call.parts },
        false => RequestedWork::Buffered {
            usual: call.typical_time().unwrap_or(DEFAULT_CALL_TIME),
            is_sticky: call.has_sticky_affinity(),
        },
    };
    ask(&PlacementRequest {
        service: &call.selected.service.name,
        regions: &call.regions,
        key: call.placement_key(),
        work,
        kilobytes: call.forwarded.body.len() as f64 / BYTES_PER_KILOBYTE,
        is_connected: &|engine| call.edge.pool.is_connected(engine),
        avoid: restrictions.avoid,
        deprioritized: restrictions.deprioritized,
        only: restrictions.only,
        version: restrictions.version,
    })
}

/// What a failed attempt says about its engine.
fn outcome_of(failure: Failure) -> Outcome {
    match failure {
        Failure::Rejected { .. } | Failure::Withheld => Outcome::Busy,
        Failure::NotSent | Failure::WrongEngine => Outcome::Unreachable,
        Failure::Lost | Failure::Crashed | Failure::Spoiled | Failure::ServerError => Outcome::Faulty,
    }
}

async fn try_engine<D: WireFormat>(
    call: &CallContext<D>,
    machine: &CallMachine,
    placement: &Placement,
    permit: Option<Permit>,
) -> Result<EngineResponse<D>, Failure> {
    let mut run = EngineRun::begin(&call.edge, placement);
    let received = match send_to_engine(call, machine, placement, permit).await {
        Ok(PoolResponse { head, body, connection, connect_time }) => {
            run.record_connection(connection, connect_time);
            check_response(call, placement, &head, connect_time.is_none()).map(|()| (head, body))
        }
        Err(failure) => Err(failure),
    };
    match received {
        Ok((head, body)) => Ok(EngineResponse { head, body, run }),
        Err(failure) => {
            run.fail(outcome_of(failure));
            Err(failure)
        }
    }
}

/// Sends the call to the engine and waits for a response head, within the call's deadline.
async fn send_to_engine<D: WireFormat>(
    call: &CallContext<D>,
    machine: &CallMachine,
    placement: &Placement,
    permit: Option<Permit>,
) -> Result<PoolResponse, Failure> {
    let edge = &call.edge;
    let request = engine_request(call, machine, placement);
    let deadline = edge.clock.instant(machine.deadline());
    let may_send = || edge.engines().may_send(&placement.engine, permit, edge.clock.now());
    // Two requests of one call have the same id, which tells their answers apart only on connections of their own.
    let reuse = match machine.may_have_run_at(&placement.engine) {
        true => ConnectionReuse::Forbidden,
        false => ConnectionReuse::Allowed,
    };
    let sending = edge.pool.send(&placement.engine, placement.address, request, reuse, &may_send);
    match tokio::time::timeout_at(deadline, sending).await {
        Ok(Ok(response)) => Ok(response),
        Err(_) | Ok(Err(SendError::Lost)) => Err(Failure::Lost),
        Ok(Err(SendError::NotSent(error))) => {
            call.report_connect_failure(placement, error.as_ref());
            if error.is_some_and(|error| error.is_refused()) {
                edge.attribute_end(&placement.engine, edge.clock.now());
            }
            Err(Failure::NotSent)
        }
        Ok(Err(SendError::Withheld)) => {
            edge.metrics.withheld.inc();
            Err(Failure::Withheld)
        }
    }
}

/// Whether a response may be forwarded: it answers this call, and is valid.
fn check_response<D: WireFormat>(
    call: &CallContext<D>,
    placement: &Placement,
    head: &response::Parts,
    is_reused: bool,
) -> Result<(), Failure> {
    let wire_format = &call.edge.wire_format;
    let identity = wire_format.identify_response(head, &call.head);
    if identity != ResponseIdentity::Own {
        call.report_foreign_response(placement, head.status, identity, is_reused);
        return Err(Failure::Lost);
    }
    match wire_format.classify_response(head) {
        ResponseKind::Valid => Ok(()),
        ResponseKind::Rejected { retry_after } => Err(Failure::Rejected { retry_after }),
        ResponseKind::WrongEngine => Err(Failure::WrongEngine),
        ResponseKind::Invalid => Err(Failure::Spoiled),
    }
}

/// Urgency of a program's turn; `None` for other calls, which get the engine's default.
fn urgency_of<D: WireFormat>(call: &CallContext<D>) -> Option<u8> {
    if !call.edge.settings.disabled.is_enabled(Mechanism::Urgency) {
        return None;
    }
    let route = &call.selected.route;
    let program = call.head.program.as_ref().filter(|_| route.rules.kind.is_stream())?;
    let elapsed = call.edge.clock.now().since(call.accepted);
    let tenant = call.caller.tenant.as_ref();
    Some(urgency(&UrgencyInput {
        // A tenant's priority overrides its route's.
        priority: tenant.and_then(|tenant| tenant.priority).unwrap_or(route.rules.priority),
        program_hash: stable_hash(&[program.program.as_bytes()]),
        program_time_left: program.time_left.map(|left| left.saturating_sub(elapsed)),
        expected_duration: call.typical_time(),
    }))
}

fn engine_request<D: WireFormat>(
    call: &CallContext<D>,
    machine: &CallMachine,
    placement: &Placement,
) -> Request<Full<Bytes>> {
    let now = call.edge.clock.now();
    let attempt = EngineAttempt {
        engine: &placement.engine,
        time_left: machine.deadline().since(now).max(Duration::from_millis(1)),
        resume_after: machine.resume_after(),
        tenant: call.caller.tenant.as_ref().map(|tenant| &*tenant.name),
        urgency: urgency_of(call),
    };
    let headers = call.edge.wire_format.engine_headers(call.forwarded.headers.clone(), &attempt);
    let mut request = Request::new(Full::new(call.forwarded.body.clone()));
    *request.method_mut() = call.forwarded.method.clone();
    *request.uri_mut() = call.forwarded.uri.clone();
    *request.headers_mut() = headers;
    request
}

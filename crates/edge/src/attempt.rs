//! One attempt at an engine: choosing it, sending the call, judging the head of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use sumacdrift_calls::{CallHead, CallMachine, EngineId, Failure, Next};
use sumacdrift_routing::{
    Outcome, PartNeed, Permit, Placed, PlacementRequest, RequestedWork, Selected, UrgencyFacts, urgency,
};
use sumacdrift_types::{AllowedRegions, Mechanism, ResultCode, Timestamp, stable_hash};

use crate::access::Caller;
use crate::dialect::{AnswerKind, Dialect, EngineAttempt, KeyUse};
use crate::edge::Edge;
use crate::engine_pool::SendError;
use crate::engine_run::EngineRun;
use crate::headers::forwardable;
use crate::service_queues::RoomHeld;

/// How long calls that are answered as a whole are believed to take before some were seen.
const STARTING_WHOLE_TIME: Duration = Duration::from_millis(50);
const BYTES_PER_KILOBYTE: f64 = 1e3;

/// What is sent to engines, the same for every attempt.
pub(crate) struct Forwarded {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Forwarded {
    /// The caller's request with the body that engines get.
    pub(crate) fn new<D: Dialect>(dialect: &D, caller: &Caller, head: &request::Parts, body: Bytes) -> Self {
        let keys = if caller.has_checked_key { KeyUse::System } else { KeyUse::Engines };
        let mut headers = forwardable(&head.headers);
        dialect.drop_owned(&mut headers, keys);
        let path = head.uri.path_and_query().cloned();
        let uri = path.map_or_else(|| head.uri.clone(), Uri::from);
        Self { method: head.method.clone(), uri, headers, body }
    }
}

/// Everything that stands for the whole of a call.
pub(crate) struct CallContext<D: Dialect> {
    pub(crate) edge: Arc<Edge<D>>,
    pub(crate) head: CallHead,
    pub(crate) caller: Caller,
    pub(crate) selected: Selected,
    pub(crate) forwarded: Forwarded,
    /// The prompt of a stream, empty for other calls.
    pub(crate) parts: Vec<PartNeed>,
    pub(crate) accepted: Timestamp,
    /// Regions in which it may be served.
    pub(crate) regions: AllowedRegions,
    /// Its place at the service's engines, where calls are put in order.
    pub(crate) room: Option<RoomHeld<D>>,
}

impl<D: Dialect> CallContext<D> {
    /// An engine served the call, this long after it was accepted: teaches how long calls of its kind take, but for the wait.
    pub(crate) fn observe_served(&self, taken: Duration) {
        let waited = self.room.as_ref().map_or(Duration::ZERO, |room| room.waited);
        self.edge.usual_times().observe(&self.selected.route.name, taken.saturating_sub(waited));
    }

    /// How long calls of this kind usually take, where some were seen.
    pub(crate) fn usual_time(&self) -> Option<Duration> {
        self.edge.usual_times().of(&self.selected.route.name)
    }

    /// Why no engine can be chosen.
    fn no_engine_code(&self) -> ResultCode {
        if self.regions.are_all() { ResultCode::NoEngine } else { ResultCode::NoEngineInRegion }
    }

    fn is_about_something(&self) -> bool {
        self.selected.route.is_sticky && self.head.affinity.is_some()
    }

    /// By which equal engines are told apart: calls of a program prefer the same one, and so do calls about the same
    /// thing; others are spread.
    fn placement_key(&self) -> u64 {
        let is_stream = self.selected.route.rules.kind.is_stream();
        let program = self.head.program.as_ref().filter(|_| is_stream);
        let thing = self.head.affinity.as_ref().filter(|_| self.is_about_something());
        match program.map(|program| &program.program).or(thing) {
            Some(key) => stable_hash(&[key.as_bytes()]),
            None => rand::random(),
        }
    }
}

/// An engine's answer that may be passed on.
pub(crate) struct Answered<D: Dialect> {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) run: EngineRun<D>,
}

/// Tries engines until one answers or the call is to be given up.
pub(crate) async fn find_answer<D: Dialect>(
    call: &CallContext<D>,
    machine: &mut CallMachine,
    first: Next,
) -> Result<Answered<D>, Next> {
    let mut next = first;
    let patience = call.edge.permits_awaited_until(machine);
    loop {
        let Next::Try { avoid, rather_not, only } = next else { return Err(next) };
        if let Err(code) = call.edge.is_still_admitted(&call.head, &call.caller) {
            return Err(machine.denied(code));
        }
        if call.edge.clock.now() >= machine.deadline() {
            return Err(machine.expired());
        }
        let tried = Tried { avoid: &avoid, rather_not: &rather_not, only: only.as_ref() };
        let (placed, permit) = match place(call, machine, &tried, patience).await {
            Place::At(placed, permit) => (placed, permit),
            Place::Refused => {
                next = Next::Try { avoid, rather_not, only };
                continue;
            }
            Place::Nowhere => return Err(machine.no_engine(call.no_engine_code())),
        };
        machine.sent(&placed.engine);
        match try_engine(call, machine, &placed, permit).await {
            Ok(answered) => return Ok(answered),
            Err(failure) => {
                let now = call.edge.clock.now();
                next = machine.failed(&placed.engine, failure, now);
                call.report_failure(&placed, failure, &next);
            }
        }
    }
}

/// What the tries before leave to choose from, see [`Next::Try`].
struct Tried<'a> {
    avoid: &'a [EngineId],
    rather_not: &'a [EngineId],
    only: Option<&'a EngineId>,
}

/// Where a call is to go.
enum Place {
    /// To this engine, by a permit where that one is cold.
    At(Placed, Option<Permit>),
    /// The engine that was chosen is cold and takes no more for now; others may be there.
    Refused,
    /// To none.
    Nowhere,
}

/// Chooses an engine, and asks for a permit where it is cold. Where only cold engines are there that take no more for now,
/// the next permit is waited for: a caller that is turned away has few tries.
async fn place<D: Dialect>(
    call: &CallContext<D>,
    machine: &CallMachine,
    tried: &Tried<'_>,
    patience: Timestamp,
) -> Place {
    let edge = &call.edge;
    let Some(placed) = choose(call, tried) else {
        let now = edge.clock.now();
        let again = with_request(call, tried, |request| edge.book().cold_again_at(request, now));
        return match again.filter(|again| *again <= patience) {
            Some(again) => {
                tokio::time::sleep_until(edge.clock.instant(again)).await;
                Place::Refused
            }
            None => Place::Nowhere,
        };
    };
    let Some(cold) = placed.cold else { return Place::At(placed, None) };
    match edge.permit(&call.head, &placed.engine, cold, machine).await {
        Some(permit) => Place::At(placed, Some(permit)),
        None => Place::Refused,
    }
}

fn choose<D: Dialect>(call: &CallContext<D>, tried: &Tried<'_>) -> Option<Placed> {
    let now = call.edge.clock.now();
    with_request(call, tried, |request| call.edge.book().choose(request, now))
}

/// What the call needs of an engine.
fn with_request<D: Dialect, T>(
    call: &CallContext<D>,
    tried: &Tried<'_>,
    ask: impl FnOnce(&PlacementRequest<'_>) -> T,
) -> T {
    let work = match call.selected.route.rules.kind.is_stream() {
        true => RequestedWork::Stream { parts: &call.parts },
        false => RequestedWork::Whole {
            usual: call.usual_time().unwrap_or(STARTING_WHOLE_TIME),
            is_sticky: call.is_about_something(),
        },
    };
    ask(&PlacementRequest {
        service: &call.selected.service.name,
        regions: &call.regions,
        key: call.placement_key(),
        work,
        kilobytes: call.forwarded.body.len() as f64 / BYTES_PER_KILOBYTE,
        is_connected: &|engine| call.edge.pool.is_connected(engine),
        avoid: tried.avoid,
        rather_not: tried.rather_not,
        only: tried.only,
    })
}

async fn try_engine<D: Dialect>(
    call: &CallContext<D>,
    machine: &CallMachine,
    placed: &Placed,
    permit: Option<Permit>,
) -> Result<Answered<D>, Failure> {
    let edge = &call.edge;
    let mut run = EngineRun::begin(edge, placed);
    let request = engine_request(call, machine, placed);
    let deadline = edge.clock.instant(machine.deadline());
    let may_send = || edge.book().may_send(&placed.engine, permit, edge.clock.now());
    let sending = edge.pool.send(&placed.engine, placed.address, request, &may_send);
    let answer = match tokio::time::timeout_at(deadline, sending).await {
        Err(_) => {
            run.fail(Outcome::Faulty);
            return Err(Failure::Lost);
        }
        Ok(Err(SendError::NotSent)) => {
            run.fail(Outcome::Unreachable);
            return Err(Failure::NotSent);
        }
        Ok(Err(SendError::Withheld)) => {
            edge.metrics.withheld.inc();
            run.fail(Outcome::Busy);
            return Err(Failure::Withheld);
        }
        Ok(Err(SendError::Lost)) => {
            run.fail(Outcome::Faulty);
            return Err(Failure::Lost);
        }
        Ok(Ok(answer)) => answer,
    };
    run.answered_on(answer.connection, answer.connected_in);
    let failure = match edge.dialect.read_answer(&answer.head, &call.head) {
        AnswerKind::Genuine => {
            return Ok(Answered { head: answer.head, body: answer.body, run });
        }
        AnswerKind::NotRun { retry_after } => Failure::Rejected { retry_after },
        AnswerKind::WrongEngine => Failure::WrongEngine,
        AnswerKind::Foreign => Failure::Lost,
        AnswerKind::Spoiled => Failure::Spoiled,
    };
    run.fail(match failure {
        Failure::Rejected { .. } => Outcome::Busy,
        Failure::WrongEngine => Outcome::Unreachable,
        _ => Outcome::Faulty,
    });
    Err(failure)
}

/// Urgency of a program's turn; other calls have the engine's usual one.
fn urgency_of<D: Dialect>(call: &CallContext<D>) -> Option<u8> {
    if !call.edge.settings.off.allows(Mechanism::Urgency) {
        return None;
    }
    let route = &call.selected.route;
    let program = call.head.program.as_ref().filter(|_| route.rules.kind.is_stream())?;
    let passed = call.edge.clock.now().since(call.accepted);
    let tenant = call.caller.tenant.as_ref();
    Some(urgency(&UrgencyFacts {
        // A tenant's rank goes before its route's.
        priority: tenant.and_then(|tenant| tenant.priority).unwrap_or(route.rules.priority),
        program_hash: stable_hash(&[program.program.as_bytes()]),
        program_time_left: program.time_left.map(|left| left.saturating_sub(passed)),
        usual_time: call.usual_time(),
    }))
}

fn engine_request<D: Dialect>(
    call: &CallContext<D>,
    machine: &CallMachine,
    placed: &Placed,
) -> Request<Full<Bytes>> {
    let now = call.edge.clock.now();
    let attempt = EngineAttempt {
        engine: &placed.engine,
        time_left: machine.deadline().since(now).max(Duration::from_millis(1)),
        resume_after: machine.resume_after(),
        tenant: call.caller.tenant.as_ref().map(|tenant| &*tenant.name),
        urgency: urgency_of(call),
    };
    let headers = call.edge.dialect.engine_headers(call.forwarded.headers.clone(), &attempt);
    let mut request = Request::new(Full::new(call.forwarded.body.clone()));
    *request.method_mut() = call.forwarded.method.clone();
    *request.uri_mut() = call.forwarded.uri.clone();
    *request.headers_mut() = headers;
    request
}

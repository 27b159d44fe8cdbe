//! The path of one call: parsing, routing, admission, the ledger, queueing, execution and the response.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HOST, HeaderValue};
use http::{Request, Response, request};
use hyper::body::Incoming;
use slog::info;
use sumacdrift_calls::{CallMachine, CallMetadata, Next};
use sumacdrift_http_client::{HttpError, read_body};
use sumacdrift_routing::{RequiredPart, SelectedRoute};
use sumacdrift_storage::LedgerError;
use sumacdrift_types::{AllowedRegions, Ran, ResultCode, Timestamp};

use crate::access::{Caller, Denied};
use crate::attempt::{CallContext, ForwardedRequest};
use crate::buffered::run_buffered;
use crate::edge::Edge;
use crate::responses::{EdgeBody, problem_response};
use crate::service_queues::{EnqueueRequest, QueueSlot};
use crate::state_exchange::prompt_parts;
use crate::stream::run_stream;
use crate::turn::{OpenTurn, TurnRequest, result_code};
use crate::wire_format::WireFormat;

/// Retry delay after a rejection that is not caused by engine capacity.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Serves one request.
pub(crate) async fn serve_call<D: WireFormat>(
    edge: Arc<Edge<D>>,
    request: Request<Incoming>,
) -> Result<Response<EdgeBody>, Infallible> {
    edge.metrics.calls.inc();
    let mut response = handle_call(&edge, request).await;
    if edge.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn handle_call<D: WireFormat>(edge: &Arc<Edge<D>>, request: Request<Incoming>) -> Response<EdgeBody> {
    let accepted = edge.clock.now();
    let (parts, body) = request.into_parts();
    let head = match edge.wire_format.parse_call(&parts) {
        Ok(head) => head,
        Err(bad) => {
            info!(edge.logger, "malformed call"; "event" => "bad_call", "code" => bad.code.number(),
                "detail" => &bad.detail);
            return rejection(edge, bad.code);
        }
    };
    let Some(limits) = edge.await_limits().await else {
        return reject(edge, &head, ResultCode::NoConfiguration);
    };
    let host = request_host(&parts);
    let Some(selected) = edge.routes().select(host, parts.uri.path()) else {
        info!(edge.logger, "no route matches"; "event" => "no_route", "call" => &head.id, "host" => host,
            "path" => parts.uri.path(), "version" => edge.routes().table().map(|table| table.version));
        return rejection(edge, ResultCode::NotFound);
    };
    let machine = CallMachine::new(selected.route.rules.clone(), head.time_left, accepted);
    let reading = read_body(body, limits.body_bytes);
    let deadline = edge.clock.instant(machine.deadline());
    let body = match tokio::time::timeout_at(deadline, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(HttpError::TooLarge(_))) => return reject(edge, &head, ResultCode::BodyTooLarge),
        Ok(Err(_)) => return reject(edge, &head, ResultCode::MalformedBody),
        Err(_) => return reject(edge, &head, ResultCode::RequestTooSlow),
    };
    let key = edge.wire_format.parse_key(&parts.headers);
    let is_public = selected.route.is_public;
    let admitted = edge.admit(&head, key, is_public, &machine).await;
    let counted = match admitted {
        Ok(caller) => edge.check_quota(&head, &caller, &machine).await.map(|()| caller),
        Err(denied) => Err(denied),
    };
    let caller = match counted {
        Ok(caller) => caller,
        Err(Denied { code, retry_after }) => {
            return problem_response(edge.wire_format.status(code), code, Ran::No, retry_after);
        }
    };
    let regions = match edge.allowed_regions(&head, &caller, &selected) {
        Ok(regions) => regions,
        Err(code) => return reject(edge, &head, code),
    };
    let admitted_call = AdmittedCall { parts, head, caller, selected, machine, body, accepted, regions };
    run_call(edge, admitted_call).await
}

/// An admitted call with its complete body.
struct AdmittedCall {
    parts: request::Parts,
    head: CallMetadata,
    caller: Caller,
    selected: SelectedRoute,
    machine: CallMachine,
    body: Bytes,
    accepted: Timestamp,
    regions: AllowedRegions,
}

async fn run_call<D: WireFormat>(edge: &Arc<Edge<D>>, mut admitted_call: AdmittedCall) -> Response<EdgeBody> {
    if !admitted_call.selected.route.rules.kind.is_stream() {
        // Tool calls belong to programs that have already started.
        let has_started = admitted_call.head.program.is_some();
        let slot = match wait_for_slot(edge, &admitted_call, has_started).await {
            Ok(slot) => slot,
            Err(next) => return reject_without_slot(edge, admitted_call, next),
        };
        let (call, mut machine) = admitted_call.into_context(edge, Vec::new(), slot);
        return match run_buffered(&call, &mut machine).await {
            Ok(response) => response,
            Err(next) => give_up(&call, &machine, &next),
        };
    }
    let prompt = prompt_parts(&admitted_call.head);
    let started = edge.clock.now();
    let begun = begin_turn(edge, &admitted_call, &prompt, started).await;
    edge.metrics.ledger_seconds.observe(edge.clock.now().since(started).as_secs_f64());
    let begun = match begun {
        Ok(begun) => begun,
        Err(error) => return reject_turn(edge, &admitted_call.head, error),
    };
    admitted_call.body = begun.body;
    let slot = match wait_for_slot(edge, &admitted_call, begun.has_started).await {
        Ok(slot) => slot,
        Err(next) => return reject_without_slot(edge, admitted_call, next),
    };
    let (call, machine) = admitted_call.into_context(edge, prompt, slot);
    match run_stream(call, machine, begun.turn).await {
        Ok(response) => response,
        Err((call, machine, next)) => give_up(&call, &machine, &next),
    }
}

impl AdmittedCall {
    fn into_context<D: WireFormat>(
        self,
        edge: &Arc<Edge<D>>,
        prompt: Vec<RequiredPart>,
        slot: Option<QueueSlot<D>>,
    ) -> (CallContext<D>, CallMachine) {
        let Self { parts, head, caller, selected, machine, body, accepted, regions } = self;
        let forwarded = ForwardedRequest::new(&edge.wire_format, &caller, &parts, body);
        let edge = Arc::clone(edge);
        let call =
            CallContext { edge, head, caller, selected, forwarded, parts: prompt, accepted, regions, slot };
        (call, machine)
    }
}

async fn wait_for_slot<D: WireFormat>(
    edge: &Arc<Edge<D>>,
    admitted_call: &AdmittedCall,
    has_started: bool,
) -> Result<Option<QueueSlot<D>>, Next> {
    let AdmittedCall { head, caller, selected, machine, body, accepted, .. } = admitted_call;
    let (accepted, bytes) = (*accepted, body.len());
    edge.wait_for_slot(EnqueueRequest { head, caller, selected, machine, accepted, bytes, has_started }).await
}

/// Rejects a call that got no slot.
fn reject_without_slot<D: WireFormat>(
    edge: &Arc<Edge<D>>,
    admitted_call: AdmittedCall,
    next: Next,
) -> Response<EdgeBody> {
    let (call, machine) = admitted_call.into_context(edge, Vec::new(), None);
    give_up(&call, &machine, &next)
}

/// Rejects a turn that the ledger did not begin.
fn reject_turn<D: WireFormat>(edge: &Edge<D>, head: &CallMetadata, error: LedgerError) -> Response<EdgeBody> {
    let program = head.program.as_ref();
    info!(edge.logger, "turn rejected by the ledger"; "event" => "turn_refused", "call" => &head.id, "reason" => %error,
        "program" => program.map(|program| &program.program),
        "budget" => program.and_then(|program| program.token_budget), "previous" => &head.previous,
        "epoch" => program.map(|program| edge.ledger.epoch_of(&program.program)));
    let code = result_code(error);
    edge.metrics.record_unsuccessful_call(code);
    match error {
        LedgerError::GroupUnavailable { retry_after } => rejection_with_retry_after(edge, code, retry_after),
        _ => rejection(edge, code),
    }
}

struct BegunTurn {
    /// `None` if the ledger does not track the turn.
    turn: Option<OpenTurn>,
    /// Request body for engines.
    body: Bytes,
    /// Whether earlier turns of the program have been served; also true if that is unknown.
    has_started: bool,
}

/// Begins the call's turn in the ledger, if it has a program with a budget or a retained route.
async fn begin_turn<D: WireFormat>(
    edge: &Arc<Edge<D>>,
    admitted_call: &AdmittedCall,
    prompt: &[RequiredPart],
    now: Timestamp,
) -> Result<BegunTurn, LedgerError> {
    let AdmittedCall { head, caller, selected, body, .. } = admitted_call;
    let untracked = || BegunTurn { turn: None, body: body.clone(), has_started: true };
    let Some(program) = &head.program else { return Ok(untracked()) };
    let is_retained = selected.route.is_retained;
    if program.token_budget.is_none() && !is_retained {
        return Ok(untracked());
    }
    let until = edge.clock.instant(admitted_call.machine.admission_deadline(now));
    let update = edge.update_at_begin(prompt);
    let request = TurnRequest { head, program, caller, selected, input: body, update };
    let ledger = edge.ledger_for(&admitted_call.regions);
    let (turn, admission) = OpenTurn::begin(ledger, &edge.logger, request, until).await?;
    let has_started = head.previous.is_some() || admission.counted_tokens > 0;
    let body = if is_retained { admission.chain.into_prompt(body) } else { body.clone() };
    Ok(BegunTurn { turn: Some(turn), body, has_started })
}

fn give_up<D: WireFormat>(call: &CallContext<D>, machine: &CallMachine, next: &Next) -> Response<EdgeBody> {
    let (what, code, ran, retry_after) = match next {
        Next::Refuse { code, retry_after } => {
            ("refused", *code, Ran::No, Some(queue_retry_delay(call, *code).unwrap_or(*retry_after)))
        }
        Next::Fail { code } | Next::BreakOff { code } => ("failed", *code, Ran::Unknown, None),
        Next::Try { .. } => ("failed", ResultCode::Internal, Ran::Unknown, None),
    };
    call.report_unsuccessful_call(machine, what, code);
    let status = match ran {
        Ran::No if code != ResultCode::Unauthenticated => {
            call.edge.wire_format.status(ResultCode::Overloaded)
        }
        _ => call.edge.wire_format.status(code),
    };
    problem_response(status, code, ran, retry_after)
}

/// Retry delay for a call that all engines rejected as overloaded, if calls are queued.
fn queue_retry_delay<D: WireFormat>(call: &CallContext<D>, code: ResultCode) -> Option<Duration> {
    let slot = call.slot.as_ref().filter(|_| code == ResultCode::Overloaded)?;
    slot.retry_delay()
}

fn reject<D: WireFormat>(edge: &Edge<D>, head: &CallMetadata, code: ResultCode) -> Response<EdgeBody> {
    edge.metrics.record_unsuccessful_call(code);
    info!(edge.logger, "call rejected"; "event" => "refused", "call" => &head.id, "code" => code.number(),
        "title" => code.title());
    rejection(edge, code)
}

fn rejection<D: WireFormat>(edge: &Edge<D>, code: ResultCode) -> Response<EdgeBody> {
    rejection_with_retry_after(edge, code, DEFAULT_RETRY_AFTER)
}

/// A rejection of a call that has not run. Only responses with status 503 have a retry delay.
fn rejection_with_retry_after<D: WireFormat>(
    edge: &Edge<D>,
    code: ResultCode,
    retry_after: Duration,
) -> Response<EdgeBody> {
    let status = edge.wire_format.status(code);
    let retry_after = (status.as_u16() == 503).then_some(retry_after);
    problem_response(status, code, Ran::No, retry_after)
}

fn request_host(parts: &request::Parts) -> &str {
    let named = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    named.or_else(|| parts.uri.host()).unwrap_or_default()
}

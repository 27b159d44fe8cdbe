//! The path of one call: parsing, routing, admission, the ledger, queueing, execution and the response.

use std::convert::Infallible;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HOST, HeaderValue};
use http::{Request, Response, request};
use slog::info;
use sumacdrift_calls::{CallMachine, CallMetadata, CrashCount, EngineVersion, Next};
use sumacdrift_http_server::RequestBody;
use sumacdrift_ledger::{ChainAssembly, StreamOrigin};
use sumacdrift_request_memory::{OutOfMemory, Reservation};
use sumacdrift_storage::LedgerError;
use sumacdrift_types::{Ran, ResultCode, Timestamp};

use crate::access::Denied;
use crate::attempt::{CallContext, ForwardedRequest};
use crate::buffered::run_buffered;
use crate::edge::Edge;
use crate::open_attempt::CurrentAttempt;
use crate::responses::{EdgeBody, problem_response};
use crate::service_queues::{EnqueueRequest, QueueSlot};
use crate::state_exchange::prompt_parts;
use crate::stream::run_stream;
use crate::stream_origin::RecordedOrigin;
use crate::turn::{OpenTurn, TurnRequest, ledger_program, result_code};
use crate::wire_format::WireFormat;

/// Retry delay after a rejection that is not caused by engine capacity.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Serves one request.
pub(crate) async fn serve_call<D: WireFormat>(
    edge: Arc<Edge<D>>,
    request: Request<RequestBody>,
) -> Result<Response<EdgeBody>, Infallible> {
    edge.metrics.calls.inc();
    let mut response = handle_call(&edge, request).await;
    if edge.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn handle_call<D: WireFormat>(
    edge: &Arc<Edge<D>>,
    request: Request<RequestBody>,
) -> Response<EdgeBody> {
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
    let reading = edge.body_memory.read_body(body, limits.body_bytes);
    let deadline = edge.clock.instant(machine.deadline());
    let body = match tokio::time::timeout_at(deadline, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return reject_unread(edge, &head, error.code()),
        Err(_) => return reject_unread(edge, &head, ResultCode::RequestTooSlow),
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
    let is_stream = selected.route.rules.kind.is_stream();
    let prompt = if is_stream { prompt_parts(&head) } else { Vec::new() };
    let forwarded = ForwardedRequest::new(&edge.wire_format, &caller, &parts, body);
    let edge = Arc::clone(edge);
    let call = CallContext {
        edge,
        head,
        caller,
        selected,
        forwarded,
        parts: prompt,
        accepted,
        regions,
        slot: None,
        attempt: CurrentAttempt::default(),
        fingerprint: OnceLock::new(),
    };
    if is_stream { run_stream_call(call, machine).await } else { run_buffered_call(call, machine).await }
}

async fn run_buffered_call<D: WireFormat>(
    mut call: CallContext<D>,
    mut machine: CallMachine,
) -> Response<EdgeBody> {
    // Tool calls belong to programs that have already started.
    let has_started = call.head.program.is_some();
    match wait_for_slot(&call, &machine, has_started).await {
        Ok(slot) => call.slot = slot,
        Err(next) => return give_up(&call, &machine, &next),
    }
    match run_buffered(&call, &mut machine).await {
        Ok(response) => response,
        Err(next) => give_up(&call, &machine, &next),
    }
}

async fn run_stream_call<D: WireFormat>(
    mut call: CallContext<D>,
    mut machine: CallMachine,
) -> Response<EdgeBody> {
    if call.resumes_kept_turn() {
        call.report_kept_turn_not_resumed();
        let next = machine.end_without_engine(ResultCode::KeptTurnNotResumable);
        return give_up(&call, &machine, &next);
    }
    let started = call.edge.clock.now();
    let begun = begin_turn(&call, &machine, started).await;
    call.edge.metrics.ledger_seconds.observe(call.edge.clock.now().since(started).as_secs_f64());
    let BegunTurn { mut turn, body, has_started, resumed_origin, unrecorded_origin, crashes } = match begun {
        Ok(begun) => begun,
        Err(error) => return reject_turn(&call.edge, &call.head, error),
    };
    call.forwarded.body = body;
    call.record_known_crashes(&mut machine, crashes);
    if let Some(origin) = unrecorded_origin {
        machine.bind_stream(&EngineVersion::new(&origin.version));
    }
    if let Some(next) = machine.end_at_crash_limit() {
        return give_up(&call, &machine, &next);
    }
    if call.resumes_stream() {
        if let Err(code) = call.bind_resumed_stream(&mut machine, resumed_origin) {
            let next = machine.end_without_engine(code);
            return give_up(&call, &machine, &next);
        }
        if let Some(turn) = &mut turn {
            turn.set_service(&call.selected.service);
        }
    }
    match wait_for_slot(&call, &machine, has_started).await {
        Ok(slot) => call.slot = slot,
        Err(next) => return give_up(&call, &machine, &next),
    }
    match run_stream(call, machine, turn).await {
        Ok(response) => response,
        Err((call, machine, next)) => give_up(&call, &machine, &next),
    }
}

/// Waits until the call may be sent to an engine, unless its request is in quarantine.
async fn wait_for_slot<D: WireFormat>(
    call: &CallContext<D>,
    machine: &CallMachine,
    has_started: bool,
) -> Result<Option<QueueSlot<D>>, Next> {
    if let Some(end) = call.end_if_quarantined(machine) {
        return Err(end);
    }
    let CallContext { edge, head, caller, selected, accepted, .. } = call;
    let (accepted, bytes) = (*accepted, call.forwarded.body.len());
    edge.wait_for_slot(EnqueueRequest { head, caller, selected, machine, accepted, bytes, has_started }).await
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
    /// Origin of the stream that the call resumes, as the ledger knows it.
    resumed_origin: RecordedOrigin,
    /// Origin that was sent to the ledger without success: a replica may have recorded it, so the stream begins there only.
    unrecorded_origin: Option<StreamOrigin>,
    /// Crashes in succession under the request, as the ledger knows.
    crashes: CrashCount,
}

impl<D: WireFormat> CallContext<D> {
    /// Whether the call is a turn that the ledger has to admit. Streams that may be resumed are looked for among the recorded
    /// turns of their program, so none of those may run without a record.
    fn must_track(&self) -> bool {
        let Some(program) = &self.head.program else { return false };
        program.token_budget.is_some() || self.selected.route.is_retained || self.is_resumable()
    }

    /// Whether the call resumes a turn of a program that its route keeps. It would be kept without its first events, as the
    /// ledger doesn't have those of a turn that was broken off.
    fn resumes_kept_turn(&self) -> bool {
        self.selected.route.is_retained && self.head.program.is_some() && self.resumes_stream()
    }

    fn report_kept_turn_not_resumed(&self) {
        info!(self.edge.logger, "a turn that has to be kept whole is not resumed"; "event" => "kept_turn_not_resumed",
            "call" => &self.head.id, "resumed_call" => &self.head.resumed_call,
            "after" => &self.head.resume_after, "age_ms" => self.age_millis());
    }

    /// Whether the ledger admits the call before it is sent.
    pub(crate) fn is_admitted(&self) -> bool {
        let is_stream = self.selected.route.rules.kind.is_stream();
        is_stream && (self.must_track() || self.is_resumable())
    }
}

/// Begins the call's turn in the ledger, if it has a program with a budget, a retained route, or a stream that may be
/// resumed.
async fn begin_turn<D: WireFormat>(
    call: &CallContext<D>,
    machine: &CallMachine,
    now: Timestamp,
) -> Result<BegunTurn, LedgerError> {
    let CallContext { edge, head, caller, selected, .. } = call;
    let body = &call.forwarded.body;
    let untracked = || BegunTurn {
        turn: None,
        body: body.clone(),
        has_started: true,
        resumed_origin: RecordedOrigin::default(),
        unrecorded_origin: None,
        crashes: CrashCount::default(),
    };
    let is_retained = selected.route.is_retained;
    let must_track = call.must_track();
    if !call.is_admitted() {
        return Ok(untracked());
    }
    let program = ledger_program(head);
    let until = edge.clock.instant(machine.admission_deadline(now));
    let (origin, resumed_turn) = (call.expected_origin(), call.resumed_turn());
    let message_memory = is_retained.then(|| hold_turn_memory(edge, body.len())).transpose()?;
    let request = TurnRequest {
        head,
        program: &program,
        caller,
        selected,
        input: body,
        origin: origin.clone(),
        resumed_turn: resumed_turn.clone(),
        fingerprint: call.fingerprint(),
        update: edge.update_at_begin(&call.parts),
        message_memory,
    };
    let ledger = edge.ledger_for(&call.regions);
    let (turn, admission) = match OpenTurn::begin(ledger, &edge.logger, request, until).await {
        Ok(begun) => begun,
        Err(error) if must_track => return Err(error),
        Err(error) => {
            info!(edge.logger, "stream begins without a record"; "event" => "stream_not_recorded",
                "call" => &head.id, "reason" => %error);
            let resumed_origin = RecordedOrigin::unanswered(&resumed_turn);
            return Ok(BegunTurn { resumed_origin, unrecorded_origin: origin, ..untracked() });
        }
    };
    let has_started = head.previous.is_some() || admission.counted_tokens > 0 || !must_track;
    let body = if is_retained { assemble_prompt(edge, admission.chain, body)? } else { body.clone() };
    let crashes = admission.crashes;
    let resumed_origin =
        RecordedOrigin { origin: admission.resumed_origin, matching_turns: admission.matching_turns };
    Ok(BegunTurn { turn: Some(turn), body, has_started, resumed_origin, unrecorded_origin: None, crashes })
}

/// Memory for a copy of a kept turn's content.
fn hold_turn_memory<D: WireFormat>(edge: &Edge<D>, bytes: usize) -> Result<Reservation, LedgerError> {
    edge.body_memory.hold(bytes).map_err(|OutOfMemory| LedgerError::OutOfMemory)
}

/// The prompt of a turn with its chain. Fails if there is no memory for it; nothing of the turn has run then.
fn assemble_prompt<D: WireFormat>(
    edge: &Edge<D>,
    chain: ChainAssembly,
    input: &Bytes,
) -> Result<Bytes, LedgerError> {
    let chain_bytes = chain.content_bytes();
    if chain_bytes == 0 {
        return Ok(chain.into_prompt(input));
    }
    let memory = hold_turn_memory(edge, chain_bytes + input.len())?;
    Ok(memory.attach_to(chain.into_prompt(input)))
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

/// Rejects a call whose body was not read to its end, so that its connection can't carry another one.
fn reject_unread<D: WireFormat>(edge: &Edge<D>, head: &CallMetadata, code: ResultCode) -> Response<EdgeBody> {
    edge.metrics.record_unsuccessful_call(code);
    info!(edge.logger, "call rejected before its body was received"; "event" => "body_refused", "call" => &head.id,
        "code" => code.number(), "title" => code.title(), "held_bytes" => edge.body_memory.held_bytes(),
        "capacity_bytes" => edge.body_memory.capacity_bytes());
    let mut response = rejection(edge, code);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
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

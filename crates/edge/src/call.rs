//! The path of one call: reading it, finding its route, asking the ledger, running it, answering.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HOST, HeaderValue};
use http::{Request, Response, request};
use hyper::body::Incoming;
use slog::info;
use sumacdrift_calls::{CallHead, CallMachine, Next};
use sumacdrift_http_client::{HttpError, gather};
use sumacdrift_routing::{PartNeed, Selected};
use sumacdrift_storage::LedgerError;
use sumacdrift_types::{AllowedRegions, Ran, ResultCode, Timestamp};

use crate::access::{Caller, Denied};
use crate::answers::{EdgeBody, problem_answer};
use crate::attempt::{CallContext, Forwarded};
use crate::dialect::Dialect;
use crate::edge::Edge;
use crate::fleet_news::prompt_parts;
use crate::plain::run_plain;
use crate::service_queues::{RoomHeld, RoomRequest};
use crate::stream::run_stream;
use crate::turn::{OpenTurn, TurnRequest, code_of};

/// When a caller is told to come back after a refusal that has nothing to do with engines.
const COME_BACK_AFTER: Duration = Duration::from_millis(200);

/// Answers one request.
pub(crate) async fn serve_call<D: Dialect>(
    edge: Arc<Edge<D>>,
    request: Request<Incoming>,
) -> Result<Response<EdgeBody>, Infallible> {
    edge.metrics.calls.inc();
    let mut answer = take_call(&edge, request).await;
    if edge.is_stopping() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

async fn take_call<D: Dialect>(edge: &Arc<Edge<D>>, request: Request<Incoming>) -> Response<EdgeBody> {
    let accepted = edge.clock.now();
    let (parts, body) = request.into_parts();
    let head = match edge.dialect.read_call(&parts) {
        Ok(head) => head,
        Err(bad) => {
            info!(edge.logger, "bad call"; "event" => "bad_call", "code" => bad.code.number(),
                "detail" => &bad.detail);
            return refusal(edge, bad.code);
        }
    };
    let Some(limits) = edge.limits_soon().await else {
        return early(edge, &head, ResultCode::NoConfiguration);
    };
    let host = host_of(&parts);
    let Some(selected) = edge.routes().select(host, parts.uri.path()) else {
        info!(edge.logger, "no route"; "event" => "no_route", "call" => &head.id, "host" => host,
            "path" => parts.uri.path(), "version" => edge.routes().table().map(|table| table.version));
        return refusal(edge, ResultCode::NotFound);
    };
    let machine = CallMachine::new(selected.route.rules.clone(), head.time_left, accepted);
    let gathering = gather(body, limits.body_bytes);
    let deadline = edge.clock.instant(machine.deadline());
    let body = match tokio::time::timeout_at(deadline, gathering).await {
        Ok(Ok(body)) => body,
        Ok(Err(HttpError::TooLarge(_))) => return early(edge, &head, ResultCode::BodyTooLarge),
        Ok(Err(_)) => return early(edge, &head, ResultCode::MalformedBody),
        Err(_) => return early(edge, &head, ResultCode::RequestTooSlow),
    };
    let key = edge.dialect.read_key(&parts.headers);
    let is_public = selected.route.is_public;
    let admitted = edge.admit(&head, key, is_public, &machine).await;
    let counted = match admitted {
        Ok(caller) => edge.count_call(&head, &caller, &machine).await.map(|()| caller),
        Err(refused) => Err(refused),
    };
    let caller = match counted {
        Ok(caller) => caller,
        Err(Denied { code, retry_after }) => {
            return problem_answer(edge.dialect.status(code), code, Ran::No, retry_after);
        }
    };
    let regions = match edge.regions_of(&head, &caller, &selected) {
        Ok(regions) => regions,
        Err(code) => return early(edge, &head, code),
    };
    let incoming = Accepted { parts, head, caller, selected, machine, body, accepted, regions };
    run_call(edge, incoming).await
}

/// A call that was read whole.
struct Accepted {
    parts: request::Parts,
    head: CallHead,
    caller: Caller,
    selected: Selected,
    machine: CallMachine,
    body: Bytes,
    accepted: Timestamp,
    /// Regions in which it may be served.
    regions: AllowedRegions,
}

async fn run_call<D: Dialect>(edge: &Arc<Edge<D>>, mut incoming: Accepted) -> Response<EdgeBody> {
    if !incoming.selected.route.rules.kind.is_stream() {
        // Tools' calls belong to programs under way.
        let is_under_way = incoming.head.program.is_some();
        let room = match wait_for_room(edge, &incoming, is_under_way).await {
            Ok(room) => room,
            Err(next) => return refuse_for_room(edge, incoming, next),
        };
        let (call, mut machine) = incoming.into_context(edge, Vec::new(), room);
        return match run_plain(&call, &mut machine).await {
            Ok(answer) => answer,
            Err(next) => give_up(&call, &machine, &next),
        };
    }
    let prompt = prompt_parts(&incoming.head);
    let asked = edge.clock.now();
    let begun = begin_turn(edge, &incoming, &prompt, asked).await;
    edge.metrics.ledger_seconds.observe(edge.clock.now().since(asked).as_secs_f64());
    let begun = match begun {
        Ok(begun) => begun,
        Err(error) => return refuse_turn(edge, &incoming.head, error),
    };
    incoming.body = begun.body;
    let room = match wait_for_room(edge, &incoming, begun.is_under_way).await {
        Ok(room) => room,
        Err(next) => return refuse_for_room(edge, incoming, next),
    };
    let (call, machine) = incoming.into_context(edge, prompt, room);
    match run_stream(call, machine, begun.turn).await {
        Ok(answer) => answer,
        Err((call, machine, next)) => give_up(&call, &machine, &next),
    }
}

impl Accepted {
    /// The call as it goes to engines.
    fn into_context<D: Dialect>(
        self,
        edge: &Arc<Edge<D>>,
        prompt: Vec<PartNeed>,
        room: Option<RoomHeld<D>>,
    ) -> (CallContext<D>, CallMachine) {
        let Self { parts, head, caller, selected, machine, body, accepted, regions } = self;
        let forwarded = Forwarded::new(&edge.dialect, &caller, &parts, body);
        let edge = Arc::clone(edge);
        let call =
            CallContext { edge, head, caller, selected, forwarded, parts: prompt, accepted, regions, room };
        (call, machine)
    }
}

/// Waits for room at the call's service.
async fn wait_for_room<D: Dialect>(
    edge: &Arc<Edge<D>>,
    incoming: &Accepted,
    is_under_way: bool,
) -> Result<Option<RoomHeld<D>>, Next> {
    let Accepted { head, caller, selected, machine, body, accepted, .. } = incoming;
    let (accepted, bytes) = (*accepted, body.len());
    edge.wait_for_room(RoomRequest { head, caller, selected, machine, accepted, bytes, is_under_way }).await
}

/// Answers a call for which there is no room.
fn refuse_for_room<D: Dialect>(edge: &Arc<Edge<D>>, incoming: Accepted, next: Next) -> Response<EdgeBody> {
    let (call, machine) = incoming.into_context(edge, Vec::new(), None);
    give_up(&call, &machine, &next)
}

/// Answers a turn that the ledger did not let begin.
fn refuse_turn<D: Dialect>(edge: &Edge<D>, head: &CallHead, error: LedgerError) -> Response<EdgeBody> {
    let program = head.program.as_ref();
    info!(edge.logger, "turn refused"; "event" => "turn_refused", "call" => &head.id, "reason" => %error,
        "program" => program.map(|program| &program.program),
        "budget" => program.and_then(|program| program.token_budget), "previous" => &head.previous,
        "epoch" => program.map(|program| edge.ledger.epoch_of(&program.program)));
    let code = code_of(error);
    edge.metrics.gave_up(code);
    match error {
        LedgerError::GroupUnavailable { retry_after } => refusal_until(edge, code, retry_after),
        _ => refusal(edge, code),
    }
}

/// A turn that may run.
struct BegunTurn {
    /// The turn in the ledger, where it is kept there.
    turn: Option<OpenTurn>,
    /// The body that engines get.
    body: Bytes,
    /// Whether earlier turns of its program were answered; also where nobody can tell.
    is_under_way: bool,
}

/// Begins a turn of a program; calls without a program go on without.
async fn begin_turn<D: Dialect>(
    edge: &Arc<Edge<D>>,
    incoming: &Accepted,
    prompt: &[PartNeed],
    now: Timestamp,
) -> Result<BegunTurn, LedgerError> {
    let Accepted { head, caller, selected, body, .. } = incoming;
    let uncounted = || BegunTurn { turn: None, body: body.clone(), is_under_way: true };
    let Some(program) = &head.program else { return Ok(uncounted()) };
    let is_retained = selected.route.is_retained;
    if program.token_budget.is_none() && !is_retained {
        return Ok(uncounted());
    }
    let until = edge.clock.instant(incoming.machine.admission_deadline(now));
    let news = edge.news_at_begin(prompt);
    let request = TurnRequest { head, program, caller, selected, input: body, news };
    let ledger = edge.ledger_for(&incoming.regions);
    let (turn, admission) = OpenTurn::begin(ledger, &edge.logger, request, until).await?;
    let is_under_way = head.previous.is_some() || admission.counted_tokens > 0;
    let body = if is_retained { admission.chain.into_prompt(body) } else { body.clone() };
    Ok(BegunTurn { turn: Some(turn), body, is_under_way })
}

fn give_up<D: Dialect>(call: &CallContext<D>, machine: &CallMachine, next: &Next) -> Response<EdgeBody> {
    let (what, code, ran, retry_after) = match next {
        Next::Refuse { code, retry_after } => {
            ("refused", *code, Ran::No, Some(return_time(call, *code).unwrap_or(*retry_after)))
        }
        Next::Fail { code } | Next::BreakOff { code } => ("failed", *code, Ran::Unknown, None),
        Next::Try { .. } => ("failed", ResultCode::Internal, Ran::Unknown, None),
    };
    call.report_given_up(machine, what, code);
    let status = match ran {
        Ran::No if code != ResultCode::Unauthenticated => call.edge.dialect.status(ResultCode::Overloaded),
        _ => call.edge.dialect.status(code),
    };
    problem_answer(status, code, ran, retry_after)
}

/// When the caller of a call that full engines turned away is to come back, where calls are put in order.
fn return_time<D: Dialect>(call: &CallContext<D>, code: ResultCode) -> Option<Duration> {
    let room = call.room.as_ref().filter(|_| code == ResultCode::Overloaded)?;
    room.return_time()
}

fn early<D: Dialect>(edge: &Edge<D>, head: &CallHead, code: ResultCode) -> Response<EdgeBody> {
    edge.metrics.gave_up(code);
    info!(edge.logger, "call refused"; "event" => "refused", "call" => &head.id, "code" => code.number(),
        "title" => code.title());
    refusal(edge, code)
}

fn refusal<D: Dialect>(edge: &Edge<D>, code: ResultCode) -> Response<EdgeBody> {
    refusal_until(edge, code, COME_BACK_AFTER)
}

/// Says that a call has not run, and when to come back where that may help.
fn refusal_until<D: Dialect>(edge: &Edge<D>, code: ResultCode, retry_after: Duration) -> Response<EdgeBody> {
    let status = edge.dialect.status(code);
    let retry_after = (status.as_u16() == 503).then_some(retry_after);
    problem_answer(status, code, Ran::No, retry_after)
}

fn host_of(parts: &request::Parts) -> &str {
    let named = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    named.or_else(|| parts.uri.host()).unwrap_or_default()
}

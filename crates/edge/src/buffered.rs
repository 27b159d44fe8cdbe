//! Calls whose response is buffered and forwarded as a whole.

use bytes::Bytes;
use http::{Response, response};
use hyper::body::Incoming;
use sumacdrift_calls::{CallMachine, Failure, Next};
use sumacdrift_http_client::{HttpError, read_body_while};
use sumacdrift_routing::{Outcome, Placement};
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::attempt::{CallContext, EngineResponse, attempt_until_response};
use crate::headers::without_hop_by_hop;
use crate::metrics::GaugeGuard;
use crate::received_body::{BodyEnd, ReceivedBody};
use crate::responses::{EdgeBody, full_body};
use crate::wire_format::WireFormat;

/// Largest response that is buffered.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Responses up to this size are buffered without a share of the common memory.
const SMALL_RESPONSE_BYTES: usize = 64 << 10;
/// Memory for larger responses of all calls together.
const COMMON_BUFFER_BYTES: usize = 32 << 20;

/// Memory for large responses. Engines that send bytes without end can't take more, however many calls they have.
pub(crate) struct ResponseMemory(Semaphore);

impl Default for ResponseMemory {
    fn default() -> Self {
        Self(Semaphore::new(COMMON_BUFFER_BYTES))
    }
}

impl ResponseMemory {
    /// Reads a body to its end; `None` if it is too large, alone or together with those of other calls.
    async fn read(&self, body: Incoming) -> Result<Option<Bytes>, HttpError> {
        let mut reserved = None;
        read_body_while(body, |bytes| bytes <= MAX_RESPONSE_BYTES && self.reserve(&mut reserved, bytes)).await
    }

    /// Reserves memory for a response of this many bytes; returns whether there is enough.
    fn reserve<'a>(&'a self, reserved: &mut Option<SemaphorePermit<'a>>, bytes: usize) -> bool {
        let held = reserved.as_ref().map_or(SMALL_RESPONSE_BYTES, |held| held.num_permits());
        let Some(missing) = bytes.checked_sub(held).filter(|missing| *missing > 0) else { return true };
        // Doubling keeps reservations few.
        let more = u32::try_from(missing.max(held)).unwrap_or(u32::MAX);
        let Ok(more) = self.0.try_acquire_many(more) else { return false };
        match reserved {
            Some(held) => held.merge(more),
            None => *reserved = Some(more),
        }
        true
    }
}

/// Runs a call until it has a response to forward or fails.
pub(crate) async fn run_buffered<D: WireFormat>(
    call: &CallContext<D>,
    machine: &mut CallMachine,
) -> Result<Response<EdgeBody>, Next> {
    let _in_flight = GaugeGuard::increment(&call.edge.metrics.in_flight);
    let mut next = machine.begin(call.edge.clock.now());
    // A server error of an engine, forwarded if no other engine's response is better.
    let mut failed: Option<BufferedResponse> = None;
    loop {
        let received = match attempt_until_response(call, machine, None, next).await {
            Ok(received) => received,
            Err(next) => return failed.map(|failed| failed.forward(call, machine)).ok_or(next),
        };
        let (placement, sent) = (received.run.placement().clone(), received.run.sent());
        let failure = match buffer_response(call, machine, received).await {
            Ok((head, bytes, received)) => {
                let response = BufferedResponse { head, bytes, placement: placement.clone(), received };
                let status = response.head.status;
                if !status.is_server_error() || !machine.may_run_elsewhere(&placement.engine) {
                    call.record_final_answer(machine, &placement, sent, status).await;
                    return Ok(response.forward(call, machine));
                }
                failed = Some(response);
                Failure::ServerError
            }
            Err(failure) => failure,
        };
        next = call.record_failure(machine, &placement, sent, failure).await;
    }
}

struct BufferedResponse {
    head: response::Parts,
    bytes: Bytes,
    placement: Placement,
    received: ReceivedBody,
}

impl BufferedResponse {
    fn forward<D: WireFormat>(self, call: &CallContext<D>, machine: &CallMachine) -> Response<EdgeBody> {
        let status = self.head.status;
        if status.is_success() {
            let elapsed = call.edge.clock.now().since(call.accepted);
            call.edge.metrics.buffered_seconds.observe(elapsed.as_secs_f64());
            call.observe_served(elapsed);
            if let Some(slot) = &call.slot {
                slot.mark_served();
            }
        }
        call.report_served(machine, status.as_u16(), &self.placement, &self.received);
        forwarded_response(&self.head, full_body(self.bytes))
    }
}

/// A response to the caller with the engine's status and end-to-end headers, and the given body.
pub(crate) fn forwarded_response(head: &response::Parts, body: EdgeBody) -> Response<EdgeBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = without_hop_by_hop(&head.headers);
    response
}

/// Reads an engine's response to its end, within the call's deadline. Also returns how its body was framed.
pub(crate) async fn buffer_response<D: WireFormat>(
    call: &CallContext<D>,
    machine: &CallMachine,
    received: EngineResponse<D>,
) -> Result<(response::Parts, Bytes, ReceivedBody), Failure> {
    let mut body = ReceivedBody::of(&received.head, &received.body, None);
    let deadline = call.edge.clock.instant(machine.deadline());
    let reading = call.edge.response_memory.read(received.body);
    match tokio::time::timeout_at(deadline, reading).await {
        Ok(Ok(Some(bytes))) => {
            let mut run = received.run;
            if call.confirm_end(body.framing(), &mut run, machine.deadline()).await.is_err() {
                run.fail(Outcome::Faulty);
                return Err(Failure::Lost);
            }
            if received.head.status.is_success() {
                run.finish_buffered(call.typical_time());
            } else {
                run.finish_failed(received.head.status);
            }
            body.record_end(BodyEnd::Regular);
            Ok((received.head, bytes, body))
        }
        Ok(Ok(None)) => {
            received.run.fail(Outcome::Faulty);
            Err(Failure::Spoiled)
        }
        Ok(Err(_)) | Err(_) => {
            received.run.fail(Outcome::Faulty);
            Err(Failure::Lost)
        }
    }
}

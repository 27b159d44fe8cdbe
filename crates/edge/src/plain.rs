//! Calls whose answer is passed on as a whole.

use bytes::Bytes;
use http::{Response, response};
use sumacdrift_calls::{CallMachine, Failure, Next};
use sumacdrift_http_client::gather as gather_body;
use sumacdrift_routing::{Outcome, Placed};

use crate::answers::{EdgeBody, whole_body};
use crate::attempt::{Answered, CallContext, find_answer};
use crate::dialect::Dialect;
use crate::headers::forwardable;
use crate::metrics::UnderWay;

/// Largest answer that is gathered.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Runs a call until it has an answer or is given up.
pub(crate) async fn run_plain<D: Dialect>(
    call: &CallContext<D>,
    machine: &mut CallMachine,
) -> Result<Response<EdgeBody>, Next> {
    let _under_way = UnderWay::begin(&call.edge.metrics.under_way);
    let mut next = machine.begin(call.edge.clock.now());
    // An engine's own error, passed on where no other engine does better.
    let mut failed: Option<WholeAnswer> = None;
    loop {
        let answered = match find_answer(call, machine, next).await {
            Ok(answered) => answered,
            Err(next) => return failed.map(|failed| failed.pass_on(call, machine)).ok_or(next),
        };
        let placed = answered.run.placed().clone();
        let (engine, failure) = match gather(call, machine, answered).await {
            Ok((head, bytes)) => {
                let answer = WholeAnswer { head, bytes, placed };
                let engine = answer.placed.engine.clone();
                if !answer.head.status.is_server_error() || !machine.may_run_elsewhere(&engine) {
                    return Ok(answer.pass_on(call, machine));
                }
                failed = Some(answer);
                (engine, Failure::ServerError)
            }
            Err(failure) => (placed.engine, failure),
        };
        next = machine.failed(&engine, failure, call.edge.clock.now());
    }
}

/// An engine's answer that was read to its end.
struct WholeAnswer {
    head: response::Parts,
    bytes: Bytes,
    placed: Placed,
}

impl WholeAnswer {
    fn pass_on<D: Dialect>(self, call: &CallContext<D>, machine: &CallMachine) -> Response<EdgeBody> {
        let status = self.head.status;
        if status.is_success() {
            let taken = call.edge.clock.now().since(call.accepted);
            call.edge.metrics.plain_seconds.observe(taken.as_secs_f64());
            call.observe_served(taken);
            if let Some(room) = &call.room {
                room.note_served();
            }
        }
        call.report_served(machine, status.as_u16(), &self.placed);
        pass_on(&self.head, whole_body(self.bytes))
    }
}

/// The engine's answer with another body.
pub(crate) fn pass_on(head: &response::Parts, body: EdgeBody) -> Response<EdgeBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = forwardable(&head.headers);
    answer
}

/// The whole answer of an engine, before the call's deadline.
pub(crate) async fn gather<D: Dialect>(
    call: &CallContext<D>,
    machine: &CallMachine,
    answered: Answered<D>,
) -> Result<(response::Parts, Bytes), Failure> {
    let deadline = call.edge.clock.instant(machine.deadline());
    let gathering = tokio::time::timeout_at(deadline, gather_body(answered.body, MAX_ANSWER_BYTES)).await;
    match gathering {
        Ok(Ok(bytes)) => {
            if answered.head.status.is_success() {
                answered.run.finish_whole(call.usual_time());
            } else {
                answered.run.finish_failed(answered.head.status);
            }
            Ok((answered.head, bytes))
        }
        Ok(Err(_)) | Err(_) => {
            answered.run.fail(Outcome::Faulty);
            Err(Failure::Lost)
        }
    }
}

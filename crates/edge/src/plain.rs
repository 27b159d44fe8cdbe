//! Calls whose answer is passed on as a whole.

use bytes::Bytes;
use http::{Response, response};
use sumacdrift_calls::{CallMachine, Failure, Next};
use sumacdrift_http_client::gather as gather_body;
use sumacdrift_routing::Outcome;

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
    loop {
        let answered = find_answer(call, machine, next).await?;
        let placed = answered.run.placed().clone();
        match gather(call, machine, answered).await {
            Ok((head, bytes)) => {
                let taken = call.edge.clock.now().since(call.accepted);
                call.edge.metrics.plain_seconds.observe(taken.as_secs_f64());
                call.edge.usual_times().observe(&call.selected.route.name, taken);
                call.report_served(machine, head.status.as_u16(), &placed);
                return Ok(pass_on(&head, whole_body(bytes)));
            }
            Err(failure) => next = machine.failed(&placed.engine, failure, call.edge.clock.now()),
        }
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
            answered.run.finish_whole(call.usual_time());
            Ok((answered.head, bytes))
        }
        Ok(Err(_)) | Err(_) => {
            answered.run.fail(Outcome::Faulty);
            Err(Failure::Lost)
        }
    }
}

//! Responses that the edge generates itself.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use sumacdrift_types::{Ran, ResultCode};

/// A response stream was aborted; the caller's connection closes before the end of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("response aborted: {0}")]
pub struct RelayError(pub ResultCode);

/// Body of a response to a caller.
pub type EdgeBody = UnsyncBoxBody<Bytes, RelayError>;

pub(crate) fn full_body(bytes: Bytes) -> EdgeBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A problem response (`application/problem+json`) with a numbered result code.
pub fn problem_response(
    status: StatusCode,
    code: ResultCode,
    ran: Ran,
    retry_after: Option<Duration>,
) -> Response<EdgeBody> {
    let ran = match ran {
        Ran::No => "no",
        Ran::Yes => "yes",
        Ran::Unknown => "unknown",
    };
    let text = format!("{{\"code\":{},\"title\":\"{}\",\"ran\":\"{ran}\"}}\n", code.number(), code.title());
    let mut answer = Response::new(full_body(Bytes::from(text)));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    let seconds = retry_after.map(|after| format!("{:.2}", after.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        headers.insert(RETRY_AFTER, value);
    }
    answer
}

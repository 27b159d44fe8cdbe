//! Conversion of problems to RFC 9457 `application/problem+json` responses.

use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde_json::{Value, json};
use sumacdrift_types::{CallId, Problem};

use crate::headers::CALL;

/// Prefix of the `type` URI; the number of the result code follows.
const TYPE_PREFIX: &str = "https://sumacdrift.example/problems/";

#[derive(Debug)]
pub(crate) struct ProblemResponse {
    problem: Problem,
    /// Sent in a header, so that the call can be found in the logs.
    call: Option<CallId>,
}

impl ProblemResponse {
    pub(crate) fn of_call(problem: Problem, call: CallId) -> Self {
        Self { problem, call: Some(call) }
    }
}

impl From<Problem> for ProblemResponse {
    fn from(problem: Problem) -> Self {
        Self { problem, call: None }
    }
}

impl IntoResponse for ProblemResponse {
    fn into_response(self) -> Response {
        let problem = self.problem;
        let status = StatusCode::from_u16(problem.code.http_status());
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = (status, problem_json(&problem).to_string()).into_response();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(call) = self.call.and_then(|call| HeaderValue::from_str(&call.to_string()).ok()) {
            headers.insert(CALL, call);
        }
        if let Some(delay) = problem.retry_after {
            let seconds = delay.as_millis().div_ceil(1000) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Includes the `error` member that OpenAI clients expect.
pub(crate) fn problem_json(problem: &Problem) -> Value {
    let number = problem.code.number();
    json!({
        "type": format!("{TYPE_PREFIX}{number}"),
        "title": problem.code.title(),
        "status": problem.code.http_status(),
        "detail": problem.detail,
        "code": number,
        "ran": problem.ran.as_str(),
        "retry_after_seconds": problem.retry_after.map(|delay| delay.as_secs_f64()),
        "error": {
            "message": problem.to_string(),
            "type": "sumacdrift_error",
            "param": null,
            "code": number.to_string(),
        },
    })
}

//! Routes, shared handler state and request body limits.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use bytes::Bytes;
use sumacdrift_request_memory::{MemoryBudget, RequestBodyError, Reservation};
use sumacdrift_types::{CallId, Problem, ResultCode};

use crate::error::ProblemResponse;
use crate::{Dispatcher, TenantLimits, chat, programs, services};

/// Retry delay given to callers whose body found no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits on request bodies.
#[derive(Debug, Clone, Copy)]
pub struct GatewaySettings {
    /// Largest accepted body, in bytes.
    pub body_bytes: usize,
    /// Memory for the bodies of all requests, in bytes.
    pub body_memory_bytes: usize,
    /// Time limit for receiving a whole body.
    pub body_timeout: Duration,
}

/// State shared by all handlers.
#[derive(Clone)]
pub(crate) struct GatewayState {
    pub(crate) dispatcher: Arc<dyn Dispatcher>,
    pub(crate) limits: TenantLimits,
    pub(crate) settings: GatewaySettings,
    pub(crate) body_memory: MemoryBudget,
}

/// Builds the router for all endpoints that callers use.
pub fn router(dispatcher: Arc<dyn Dispatcher>, limits: TenantLimits, settings: GatewaySettings) -> Router {
    let body_memory = MemoryBudget::new(settings.body_memory_bytes);
    let gateway = GatewayState { dispatcher, limits, settings, body_memory };
    Router::new()
        .route("/v1/chat/completions", post(chat::complete))
        .route("/v1/models", get(chat::models))
        .route("/v1/programs/{program}", get(programs::describe).delete(programs::end))
        .route("/services/{service}", any(services::forward))
        .route("/services/{service}/{*path}", any(services::forward))
        .fallback(not_found)
        .method_not_allowed_fallback(method_not_allowed)
        .with_state(gateway)
}

async fn not_found(State(_): State<GatewayState>) -> Response {
    let problem = Problem::not_run(ResultCode::NotFound, "no such path");
    ProblemResponse::from(problem).into_response()
}

async fn method_not_allowed(State(_): State<GatewayState>) -> Response {
    let problem = Problem::not_run(ResultCode::MethodNotAllowed, "the path does not support this method");
    ProblemResponse::from(problem).into_response()
}

impl GatewayState {
    /// Reads a whole request body within the limits on size, time and memory. The bytes own their memory.
    pub(crate) async fn read_body(&self, body: Body) -> Result<Bytes, Problem> {
        let reading = self.body_memory.read_body(body, self.settings.body_bytes);
        let received = tokio::time::timeout(self.settings.body_timeout, reading).await;
        let received = received.map_err(|_| {
            let seconds = self.settings.body_timeout.as_secs_f64();
            let detail = format!("the body was not received within {seconds} s");
            Problem::not_run(ResultCode::RequestTooSlow, detail)
        })?;
        received.map_err(|error| body_problem(&error))
    }

    /// Memory for the content of a body once it is parsed.
    pub(crate) fn hold_parsed(&self, body: &Bytes) -> Result<Reservation, Problem> {
        self.body_memory.hold(body.len()).map_err(|error| body_problem(&error.into()))
    }
}

fn body_problem(error: &RequestBodyError) -> Problem {
    let problem = Problem::not_run(error.code(), error.to_string());
    match error {
        RequestBodyError::OutOfMemory(_) => problem.with_retry_after(MEMORY_RETRY_AFTER),
        RequestBodyError::TooLarge(_) | RequestBodyError::Unreadable(_) => problem,
    }
}

pub(crate) fn new_call_id() -> CallId {
    CallId::random(&mut rand::rng())
}

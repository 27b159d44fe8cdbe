//! Routes, shared handler state and request body limits.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use sumacdrift_types::{CallId, Problem, ResultCode};

use crate::error::ProblemResponse;
use crate::{Dispatcher, TenantLimits, chat, programs, services};

/// Limits on request bodies.
#[derive(Debug, Clone, Copy)]
pub struct GatewaySettings {
    /// Largest accepted body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a whole body.
    pub body_timeout: Duration,
}

/// State shared by all handlers.
#[derive(Clone)]
pub(crate) struct GatewayState {
    pub(crate) dispatcher: Arc<dyn Dispatcher>,
    pub(crate) limits: TenantLimits,
    pub(crate) settings: GatewaySettings,
}

/// Builds the router for all endpoints that callers use.
pub fn router(dispatcher: Arc<dyn Dispatcher>, limits: TenantLimits, settings: GatewaySettings) -> Router {
    let gateway = GatewayState { dispatcher, limits, settings };
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
    /// Reads a whole request body within the limits on size and time.
    pub(crate) async fn read_body(&self, body: Body) -> Result<Bytes, Problem> {
        let collected = tokio::time::timeout(self.settings.body_timeout, self.collect_body(body)).await;
        collected.unwrap_or_else(|_| {
            let seconds = self.settings.body_timeout.as_secs_f64();
            let detail = format!("the body was not received within {seconds} s");
            Err(Problem::not_run(ResultCode::RequestTooSlow, detail))
        })
    }

    async fn collect_body(&self, body: Body) -> Result<Bytes, Problem> {
        let mut chunks = body.into_data_stream();
        let mut collected = BytesMut::new();
        while let Some(chunk) = chunks.next().await {
            let chunk = chunk.map_err(|error| {
                let detail = format!("reading the body failed: {error}");
                Problem::not_run(ResultCode::MalformedBody, detail)
            })?;
            if collected.len() + chunk.len() > self.settings.body_bytes {
                let detail = format!("the body is larger than {} bytes", self.settings.body_bytes);
                return Err(Problem::not_run(ResultCode::BodyTooLarge, detail));
            }
            collected.extend_from_slice(&chunk);
        }
        Ok(collected.freeze())
    }
}

pub(crate) fn new_call_id() -> CallId {
    CallId::random(&mut rand::rng())
}

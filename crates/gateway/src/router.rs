//! Routes, and what they share.

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

/// Limits on requests.
#[derive(Debug, Clone, Copy)]
pub struct GatewaySettings {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time for a body to arrive.
    pub body_timeout: Duration,
}

/// What every handler needs.
#[derive(Clone)]
pub(crate) struct Gateway {
    pub(crate) dispatcher: Arc<dyn Dispatcher>,
    pub(crate) limits: TenantLimits,
    pub(crate) settings: GatewaySettings,
}

/// The callers' face.
pub fn router(dispatcher: Arc<dyn Dispatcher>, limits: TenantLimits, settings: GatewaySettings) -> Router {
    let gateway = Gateway { dispatcher, limits, settings };
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

async fn not_found(State(_): State<Gateway>) -> Response {
    let problem = Problem::not_run(ResultCode::NotFound, "no such path");
    ProblemResponse::from(problem).into_response()
}

async fn method_not_allowed(State(_): State<Gateway>) -> Response {
    let problem = Problem::not_run(ResultCode::MethodNotAllowed, "the path does not take this method");
    ProblemResponse::from(problem).into_response()
}

impl Gateway {
    /// Gathers a request's body within the limits on size and time.
    pub(crate) async fn read_body(&self, body: Body) -> Result<Bytes, Problem> {
        let gathered = tokio::time::timeout(self.settings.body_timeout, self.gather(body)).await;
        gathered.unwrap_or_else(|_| {
            let seconds = self.settings.body_timeout.as_secs_f64();
            let detail = format!("the body did not arrive within {seconds} s");
            Err(Problem::not_run(ResultCode::RequestTooSlow, detail))
        })
    }

    async fn gather(&self, body: Body) -> Result<Bytes, Problem> {
        let mut pieces = body.into_data_stream();
        let mut gathered = BytesMut::new();
        while let Some(piece) = pieces.next().await {
            let piece = piece.map_err(|error| {
                let detail = format!("the body broke off: {error}");
                Problem::not_run(ResultCode::MalformedBody, detail)
            })?;
            if gathered.len() + piece.len() > self.settings.body_bytes {
                let detail = format!("the body is larger than {} bytes", self.settings.body_bytes);
                return Err(Problem::not_run(ResultCode::BodyTooLarge, detail));
            }
            gathered.extend_from_slice(&piece);
        }
        Ok(gathered.freeze())
    }
}

/// A fresh call id.
pub(crate) fn new_call() -> CallId {
    CallId::random(&mut rand::rng())
}

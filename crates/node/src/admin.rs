//! The operators' face of one node: health, readiness, metrics and status.

use std::sync::Arc;

use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde_json::{Value, json};
use sumacdrift_membership::MemberState;

use crate::parts::Parts;

/// Content type of Prometheus' text format.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What the operators' face shows.
#[derive(Clone)]
pub(crate) struct Admin {
    pub(crate) parts: Arc<Parts>,
}

/// The operators' routes.
pub(crate) fn router(admin: Admin) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .with_state(admin)
}

impl Admin {
    /// What keeps the node from taking calls, if anything does.
    fn obstacle(&self) -> Option<&'static str> {
        if self.parts.context.stopping.is_cancelled() {
            return Some("the node is being stopped");
        }
        if self.parts.configuration.current().is_none() {
            return Some("no configuration is in force");
        }
        if !self.parts.client.is_ready() {
            return Some("the node does not belong to a fleet yet");
        }
        None
    }
}

async fn ready(State(admin): State<Admin>) -> Response {
    match admin.obstacle() {
        None => "ready\n".into_response(),
        Some(obstacle) => (StatusCode::SERVICE_UNAVAILABLE, format!("{obstacle}\n")).into_response(),
    }
}

async fn metrics(State(admin): State<Admin>) -> Response {
    let traffic = admin.parts.context.transport.counters().totals();
    let metrics = &admin.parts.context.metrics;
    metrics.peer_sent_bytes.set(traffic.sent_bytes as i64);
    metrics.peer_received_bytes.set(traffic.received_bytes as i64);
    metrics.peer_sent_messages.set(traffic.sent_messages as i64);
    ([(header::CONTENT_TYPE, METRICS_TYPE)], metrics.text()).into_response()
}

async fn status(State(admin): State<Admin>) -> Json<Value> {
    let members: Vec<Value> = admin.parts.fleet.members().iter().map(member_json).collect();
    let shards: Vec<Value> = admin
        .parts
        .host
        .roles()
        .into_iter()
        .map(|(shard, is_leader, term)| json!({"shard": shard.0, "leads": is_leader, "term": term}))
        .collect();
    let engines: Vec<Value> = admin
        .parts
        .owner
        .loads()
        .into_iter()
        .map(|(engine, load)| {
            json!({"engine": engine, "running": load.running, "queued": load.queued,
                "context_tokens": load.context_tokens})
        })
        .collect();
    Json(json!({
        "node": admin.parts.context.own.node.0,
        "incarnation": admin.parts.context.own.incarnation.0,
        "zone": admin.parts.context.settings.zone,
        "region": admin.parts.context.settings.region,
        "obstacle": admin.obstacle(),
        "generation": admin.parts.configuration.generation().0,
        "calls_running": admin.parts.calls.count(),
        "members": members,
        "shards": shards,
        "engines": engines,
    }))
}

fn member_json(member: &sumacdrift_membership::Member) -> Value {
    let state = match member.state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    };
    json!({
        "node": member.node.0,
        "incarnation": member.incarnation.0,
        "state": state,
        "leaving": member.is_leaving,
        "address": member.address.to_string(),
        "zone": member.zone,
        "region": member.region,
    })
}

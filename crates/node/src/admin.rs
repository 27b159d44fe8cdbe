//! Operators' HTTP endpoints: health, readiness, metrics and status.

use std::sync::Arc;

use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde_json::{Value, json};
use sumacdrift_membership::MemberState;

use crate::components::Components;

/// Content type of the OpenMetrics text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Clone)]
pub(crate) struct AdminState {
    pub(crate) components: Arc<Components>,
}

pub(crate) fn router(admin: AdminState) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(get_readiness))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .with_state(admin)
}

impl AdminState {
    /// Why the node is not ready for calls; `None` if it is.
    fn not_ready_reason(&self) -> Option<&'static str> {
        if self.components.context.stopping.is_cancelled() {
            return Some("the node is being stopped");
        }
        if self.components.configuration.current().is_none() {
            return Some("no configuration is in force");
        }
        if !self.components.shard_client.is_ready() {
            return Some("the node does not belong to a fleet yet");
        }
        None
    }
}

async fn get_readiness(State(admin): State<AdminState>) -> Response {
    match admin.not_ready_reason() {
        None => "ready\n".into_response(),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")).into_response(),
    }
}

async fn metrics(State(admin): State<AdminState>) -> Response {
    let traffic = admin.components.context.transport.counters().totals();
    let metrics = &admin.components.context.metrics;
    metrics.peer_sent_bytes.set(traffic.sent_bytes as i64);
    metrics.peer_received_bytes.set(traffic.received_bytes as i64);
    metrics.peer_sent_messages.set(traffic.sent_messages as i64);
    ([(header::CONTENT_TYPE, METRICS_CONTENT_TYPE)], metrics.encode_text()).into_response()
}

async fn status(State(admin): State<AdminState>) -> Json<Value> {
    let members: Vec<Value> = admin.components.fleet.members().iter().map(member_json).collect();
    let shards: Vec<Value> = admin
        .components
        .shard_host
        .shard_roles()
        .into_iter()
        .map(|(shard, is_leader, term)| json!({"shard": shard.0, "leads": is_leader, "term": term}))
        .collect();
    let engines: Vec<Value> = admin
        .components
        .engine_owner
        .loads()
        .into_iter()
        .map(|(engine, load)| {
            json!({"engine": engine, "running": load.running, "queued": load.queued,
                "context_tokens": load.context_tokens})
        })
        .collect();
    Json(json!({
        "node": admin.components.context.own_replica.node.0,
        "incarnation": admin.components.context.own_replica.incarnation.0,
        "zone": admin.components.context.settings.zone,
        "region": admin.components.context.settings.region,
        "obstacle": admin.not_ready_reason(),
        "generation": admin.components.configuration.generation().0,
        "calls_running": admin.components.running_calls.count(),
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

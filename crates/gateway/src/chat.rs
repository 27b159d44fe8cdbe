//! Chat completion and model list endpoints.

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::response::{IntoResponse, Response};
use serde_json::{Value, json};
use sumacdrift_types::{CallId, IdempotencyKey, Problem, ProgramId, TenantName};

use crate::ChatCall;
use crate::auth::authenticate;
use crate::chat_answer::{ResponseFormat, respond};
use crate::chat_request::{self, ChatRequest};
use crate::error::ProblemResponse;
use crate::headers::{self, ProgramHeaders};
use crate::router::{GatewayState, new_call_id};

/// Prefix of the names of programs made by [`keyed_program`].
const KEYED_PROGRAM_PREFIX: &str = "key-";

/// `POST /v1/chat/completions`.
pub(crate) async fn complete(
    State(gateway): State<GatewayState>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let call = new_call_id();
    match try_complete(gateway, call, &headers, body).await {
        Ok(response) => response,
        Err(problem) => ProblemResponse::of_call(problem, call).into_response(),
    }
}

async fn try_complete(
    gateway: GatewayState,
    call: CallId,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, Problem> {
    gateway.dispatcher.check_ready()?;
    let caller = authenticate(gateway.dispatcher.as_ref(), headers)?;
    let program_headers = headers::read(headers)?;
    let mut permit = gateway.limits.acquire(&caller.tenant)?;
    let body = gateway.read_body(body).await?;
    permit.hold(gateway.hold_parsed(&body)?);
    let request = chat_request::parse(&body)?;
    drop(body);
    let format = ResponseFormat {
        call,
        model: request.model.clone(),
        is_stream: request.is_stream,
        include_usage: request.include_usage,
    };
    let chat_call = to_chat_call(call, caller.tenant.name, program_headers, request);
    let stream = gateway.dispatcher.clone().chat(chat_call).await?;
    respond(stream, format, permit).await
}

fn to_chat_call(
    call: CallId,
    tenant: TenantName,
    program_headers: ProgramHeaders,
    request: ChatRequest,
) -> ChatCall {
    let keyed_program = program_headers.key.as_ref().map(|key| keyed_program(&tenant, key));
    ChatCall {
        call,
        tenant,
        program: program_headers.program.or(keyed_program),
        parent: program_headers.parent,
        turn: program_headers.turn,
        key: program_headers.key,
        mode: program_headers.mode,
        model: request.model,
        messages: request.messages,
        parameters: request.parameters,
        max_tokens: request.max_tokens,
        deadline: program_headers.deadline,
    }
}

/// Program of a call that has an idempotency key but names no program. The name is derived from tenant and key, so
/// that a retry finds the recorded answer.
fn keyed_program(tenant: &TenantName, key: &IdempotencyKey) -> ProgramId {
    let digest = blake3::hash(format!("{tenant}/{key}").as_bytes());
    let name = format!("{KEYED_PROGRAM_PREFIX}{}", digest.to_hex());
    ProgramId::new(&name).unwrap_or_else(|_| unreachable!("a prefix with hexadecimal digits is a valid name"))
}

/// `GET /v1/models`.
pub(crate) async fn models(State(gateway): State<GatewayState>, headers: HeaderMap) -> Response {
    let caller = match authenticate(gateway.dispatcher.as_ref(), &headers) {
        Ok(caller) => caller,
        Err(problem) => return ProblemResponse::from(problem).into_response(),
    };
    let pools = caller.bundle.pools.values().filter(|pool| caller.tenant.pools.contains(&pool.name));
    let models: std::collections::BTreeSet<String> =
        pools.flat_map(|pool| pool.models.iter().map(ToString::to_string)).collect();
    let data: Vec<Value> = models
        .into_iter()
        .map(|id| json!({"id": id, "object": "model", "created": 0, "owned_by": "sumacdrift"}))
        .collect();
    Json(json!({"object": "list", "data": data})).into_response()
}

//! Endpoints that report on programs and end them.

use axum::Json;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use serde::Deserialize;
use serde_json::{Value, json};
use sumacdrift_program::{Decision, EndReason, Page, ProgramReport};
use sumacdrift_types::{Problem, ProgramId, ResultCode};

use crate::ProgramCall;
use crate::auth::authenticate;
use crate::error::ProblemResponse;
use crate::router::{GatewayState, new_call_id};

const MAX_MESSAGES_PER_REPORT: usize = 200;

/// Query parameters that select a range of the history.
#[derive(Debug, Deserialize)]
pub(crate) struct PageQuery {
    #[serde(default)]
    first_message: usize,
    #[serde(default = "all_messages")]
    messages: usize,
}

fn all_messages() -> usize {
    MAX_MESSAGES_PER_REPORT
}

/// `GET /v1/programs/{id}`.
pub(crate) async fn describe(
    State(gateway): State<GatewayState>,
    Path(program): Path<String>,
    Query(query): Query<PageQuery>,
    headers: HeaderMap,
) -> Response {
    let page =
        Page { first_message: query.first_message, messages: query.messages.min(MAX_MESSAGES_PER_REPORT) };
    let call = match program_call(&gateway, &program, &headers) {
        Ok(call) => call,
        Err(problem) => return ProblemResponse::from(problem).into_response(),
    };
    match gateway.dispatcher.clone().describe(call, page).await {
        Ok(report) => Json(report_json(&report, page)).into_response(),
        Err(problem) => ProblemResponse::from(problem).into_response(),
    }
}

/// `DELETE /v1/programs/{id}`.
pub(crate) async fn end(
    State(gateway): State<GatewayState>,
    Path(program): Path<String>,
    headers: HeaderMap,
) -> Response {
    let call = match program_call(&gateway, &program, &headers) {
        Ok(call) => call,
        Err(problem) => return ProblemResponse::from(problem).into_response(),
    };
    match gateway.dispatcher.clone().end_program(call).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(problem) => ProblemResponse::from(problem).into_response(),
    }
}

fn program_call(gateway: &GatewayState, program: &str, headers: &HeaderMap) -> Result<ProgramCall, Problem> {
    let caller = authenticate(gateway.dispatcher.as_ref(), headers)?;
    let program = ProgramId::new(program)
        .map_err(|error| Problem::not_run(ResultCode::UnknownProgram, error.to_string()))?;
    Ok(ProgramCall { call: new_call_id(), tenant: caller.tenant.name, program })
}

fn report_json(report: &ProgramReport, page: Page) -> Value {
    let parse = |text: &str| serde_json::from_str::<Value>(text).unwrap_or(Value::Null);
    let messages: Vec<Value> = report.messages.iter().map(|message| parse(message.canonical())).collect();
    json!({
        "program": report.program,
        "tenant": report.tenant,
        "parent": report.parent,
        "sub_agents": report.children,
        "state": state_text(report),
        "call_under_way": report.in_flight.map(|call| call.to_string()),
        "next_turn": report.next_turn.0,
        "budget": budget_json(report),
        "engines": report.engines,
        "history": {
            "messages_recorded": report.history_length,
            "first_message": page.first_message,
            "messages": messages,
        },
        "decisions": report.decisions.iter().map(decision_json).collect::<Vec<_>>(),
    })
}

fn state_text(report: &ProgramReport) -> &'static str {
    match (report.ended, report.in_flight) {
        (Some(EndReason::Caller), _) => "ended by its caller",
        (Some(EndReason::LeaseExpired), _) => "ended, since nobody continued it",
        (Some(EndReason::ParentEnded), _) => "ended with its parent",
        (None, Some(_)) => "running",
        (None, None) => "waiting for its caller",
    }
}

fn budget_json(report: &ProgramReport) -> Value {
    let (limits, spent, reserved) = (report.budget.limits, report.budget.spent, report.budget.reserved);
    json!({
        "limits": {
            "turns": limits.turns,
            "input_tokens": limits.input_tokens,
            "output_tokens": limits.output_tokens,
            "seconds": limits.seconds,
            "sub_agents": limits.sub_agents,
        },
        "spent": {
            "turns": spent.turns,
            "input_tokens": spent.input_tokens,
            "output_tokens": spent.output_tokens,
            "sub_agents": spent.sub_agents,
        },
        "reserved": {
            "input_tokens": reserved.input_tokens,
            "output_tokens": reserved.output_tokens,
        },
    })
}

fn decision_json(decision: &Decision) -> Value {
    json!({
        "at": decision.at.as_seconds(),
        "kind": decision.kind.to_string(),
        "turn": decision.turn.map(|turn| turn.0),
        "reason": decision.reason,
    })
}

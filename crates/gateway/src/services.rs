//! Forwarding of requests to plain HTTP services.

use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use futures::stream;
use sumacdrift_types::{CallId, Problem, ResultCode, ServiceName};

use crate::auth::authenticate;
use crate::dispatcher::ServiceHeader;
use crate::error::ProblemResponse;
use crate::headers::{CALL, REPLAYED, idempotency_key};
use crate::router::{GatewayState, new_call_id};
use crate::{ServiceAnswer, ServiceBody, ServiceCall};

const PATH_PREFIX: &str = "/services/";
const FORWARDED_HEADERS: [&str; 2] = ["content-type", "accept"];

/// Any method on `/services/{service}` and the paths below it.
pub(crate) async fn forward(State(gateway): State<GatewayState>, request: Request) -> Response {
    let call = new_call_id();
    match try_forward(gateway, call, request).await {
        Ok(response) => response,
        Err(problem) => ProblemResponse::of_call(problem, call).into_response(),
    }
}

async fn try_forward(gateway: GatewayState, call: CallId, request: Request) -> Result<Response, Problem> {
    gateway.dispatcher.check_ready()?;
    let (head, body) = request.into_parts();
    let caller = authenticate(gateway.dispatcher.as_ref(), &head.headers)?;
    let path_and_query = head.uri.path_and_query().map_or("", |path_and_query| path_and_query.as_str());
    let (service, path) = split_path(path_and_query)?;
    if !caller.bundle.services.contains_key(&service) {
        return Err(Problem::not_run(ResultCode::NotFound, format!("unknown service {service}")));
    }
    if !caller.tenant.services.contains(&service) {
        let detail = format!("the tenant is not allowed to use service {service}");
        return Err(Problem::not_run(ResultCode::Forbidden, detail));
    }
    let key = idempotency_key(&head.headers)?;
    let permit = gateway.limits.acquire(&caller.tenant)?;
    let service_call = ServiceCall {
        call,
        tenant: caller.tenant.name,
        service,
        key,
        method: head.method.to_string(),
        path,
        headers: forwarded_headers(&head.headers),
        body: gateway.read_body(body).await?,
    };
    let answer = gateway.dispatcher.clone().service(service_call).await?;
    let mut response = to_response(answer, permit);
    if let Ok(value) = HeaderValue::from_str(&call.to_string()) {
        response.headers_mut().insert(CALL, value);
    }
    Ok(response)
}

fn split_path(path_and_query: &str) -> Result<(ServiceName, String), Problem> {
    let service_and_path = path_and_query.strip_prefix(PATH_PREFIX).unwrap_or_default();
    let end = service_and_path.find(['/', '?']).unwrap_or(service_and_path.len());
    let (name, path) = service_and_path.split_at(end);
    let service = ServiceName::new(name)
        .map_err(|error| Problem::not_run(ResultCode::NotFound, format!("invalid service name: {error}")))?;
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    Ok((service, path))
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<ServiceHeader> {
    let mut forwarded = Vec::new();
    for name in FORWARDED_HEADERS {
        if let Some(value) = headers.get(name).and_then(|value| value.to_str().ok()) {
            forwarded.push(ServiceHeader { name, value: value.to_owned() });
        }
    }
    forwarded
}

fn to_response(answer: ServiceAnswer, permit: crate::limits::CallPermit) -> Response {
    let body = match answer.body {
        ServiceBody::Whole(bytes) => Body::from(bytes),
        ServiceBody::Pieces(chunks) => {
            Body::from_stream(stream::unfold((chunks, permit), |(mut chunks, permit)| async move {
                let chunk = chunks.recv().await?;
                Some((chunk, (chunks, permit)))
            }))
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(content_type) = answer.content_type.and_then(|value| HeaderValue::from_str(&value).ok()) {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    if answer.is_replay {
        response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    }
    response
}

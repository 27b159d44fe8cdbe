//! A plain HTTP service for tools, hooks and notifications, with fault injection.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, Method, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use serde_json::json;
use sumacdrift_transport::listen_tcp;
use tokio_util::sync::CancellationToken;

use crate::server::spawn_server;

/// A request that the service has executed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct ToolExecution {
    /// Method and URI.
    pub operation: String,
    /// Value of the `idempotency-key` header.
    pub key: Option<String>,
    /// Value of the `x-request-id` header, empty if there is none.
    pub call: String,
    pub body: Vec<u8>,
}

/// Faults to inject, each for a number of requests and in the order of the fields.
#[derive(Debug, Clone, Default)]
pub struct ToolFaults {
    /// Requests to execute and then break the connection before the first byte of the response body.
    pub lose_answer: usize,
    /// Requests to leave unanswered and not execute.
    pub hang: usize,
    /// Requests to answer with status 500 and not execute.
    pub fail: usize,
}

#[derive(Default)]
struct Shared {
    executions: Mutex<Vec<ToolExecution>>,
    faults: Mutex<ToolFaults>,
}

/// A handle to a running emulated service.
#[derive(Clone)]
pub struct ToolServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: CancellationToken,
}

impl ToolServer {
    /// Starts a service on the address `at`.
    pub async fn start(at: SocketAddr) -> io::Result<Self> {
        let listener = listen_tcp(at)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let stop = CancellationToken::new();
        let router = Router::new().fallback(handle_request).with_state(Arc::clone(&shared));
        spawn_server(listener, router, stop.clone());
        Ok(Self { shared, address, stop })
    }

    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests executed so far, in order.
    pub fn executions(&self) -> Vec<ToolExecution> {
        lock(&self.shared.executions).clone()
    }

    /// Changes the pending faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ToolFaults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Stops the service abruptly, like a crash.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

enum Fault {
    LoseAnswer,
    Hang,
    Fail,
}

fn next_fault(faults: &mut ToolFaults) -> Option<Fault> {
    let take = |count: &mut usize| {
        let is_pending = *count > 0;
        *count -= usize::from(is_pending);
        is_pending
    };
    if take(&mut faults.lose_answer) {
        return Some(Fault::LoseAnswer);
    }
    if take(&mut faults.hang) {
        return Some(Fault::Hang);
    }
    take(&mut faults.fail).then_some(Fault::Fail)
}

async fn handle_request(
    State(shared): State<Arc<Shared>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let fault = next_fault(&mut lock(&shared.faults));
    match fault {
        Some(Fault::Hang) => std::future::pending::<()>().await,
        Some(Fault::Fail) => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Some(Fault::LoseAnswer) | None => {}
    }
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let execution = ToolExecution {
        operation: format!("{method} {uri}"),
        key: header("idempotency-key"),
        call: header("x-request-id").unwrap_or_default(),
        body: body.to_vec(),
    };
    let number = {
        let mut executions = lock(&shared.executions);
        executions.push(execution.clone());
        executions.len()
    };
    if matches!(fault, Some(Fault::LoseAnswer)) {
        return broken_response();
    }
    axum::Json(json!({"operation": execution.operation, "number": number})).into_response()
}

/// A response whose connection breaks before the first byte of the body.
fn broken_response() -> Response {
    let failing_body = futures::stream::once(async {
        Err::<Bytes, io::Error>(io::Error::new(io::ErrorKind::ConnectionReset, "lost"))
    });
    Response::new(Body::from_stream(failing_body))
}

//! A plain HTTP service: tools, hooks and notices, which may hang, fail or lose their answer.

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

/// One request that the service carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ToolExecution {
    /// Method and path.
    pub operation: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The request id that the system sent along.
    pub call: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Faults that the service shows, each for a number of requests.
#[derive(Debug, Clone, Default)]
pub struct ToolFaults {
    /// Requests that are carried out and whose answer is lost with the connection.
    pub lose_answer: usize,
    /// Requests that hang for ever without being carried out.
    pub hang: usize,
    /// Requests that fail with status 500 without being carried out.
    pub fail: usize,
}

#[derive(Default)]
struct Shared {
    executions: Mutex<Vec<ToolExecution>>,
    faults: Mutex<ToolFaults>,
}

/// An emulated service that listens on an address.
#[derive(Clone)]
pub struct ToolServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: CancellationToken,
}

impl ToolServer {
    /// Starts a service.
    pub async fn start(at: SocketAddr) -> io::Result<Self> {
        let listener = listen_tcp(at)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let stop = CancellationToken::new();
        let router = Router::new().fallback(execute).with_state(Arc::clone(&shared));
        spawn_server(listener, router, stop.clone());
        Ok(Self { shared, address, stop })
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Everything carried out so far.
    pub fn executions(&self) -> Vec<ToolExecution> {
        lock(&self.shared.executions).clone()
    }

    /// Changes the faults that the service shows.
    pub fn set_faults(&self, change: impl FnOnce(&mut ToolFaults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Stops the service at once, as a crash does.
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
        let is_due = *count > 0;
        *count -= usize::from(is_due);
        is_due
    };
    if take(&mut faults.lose_answer) {
        return Some(Fault::LoseAnswer);
    }
    if take(&mut faults.hang) {
        return Some(Fault::Hang);
    }
    take(&mut faults.fail).then_some(Fault::Fail)
}

async fn execute(
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
        return broken_answer();
    }
    axum::Json(json!({"operation": execution.operation, "number": number})).into_response()
}

/// An answer whose connection breaks before the first byte of the body.
fn broken_answer() -> Response {
    let cut = futures::stream::once(async {
        Err::<Bytes, io::Error>(io::Error::new(io::ErrorKind::ConnectionReset, "lost"))
    });
    Response::new(Body::from_stream(cut))
}

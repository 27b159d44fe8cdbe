//! HTTP server of the object API and the machine list.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::json;
use sumacdrift_transport::listen_tcp;
use sumacdrift_types::Timestamp;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::server::spawn_server;

use crate::{MachineEntry, MachineList, MachineState, ObjectFaults, ObjectStore, StoreError, StoredObject};

/// Maximum time that a watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit of concurrent reads and watches; further ones get 429.
const MAX_CONCURRENT_READS: usize = 32;
/// Time after which changes of the machine list become visible.
const MACHINE_LIST_DELAY: Duration = Duration::from_secs(5);

struct Shared {
    store: Mutex<ObjectStore>,
    faults: Mutex<ObjectFaults>,
    machines: Mutex<MachineList>,
    changed: Notify,
    active_reads: AtomicUsize,
    requests: AtomicUsize,
    origin: Instant,
}

/// A handle to a running emulated object API.
#[derive(Clone)]
pub struct ObjectServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: CancellationToken,
}

impl ObjectServer {
    /// Starts an empty object API on the address `at`.
    pub async fn start(at: SocketAddr) -> io::Result<Self> {
        let listener = listen_tcp(at)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            store: Mutex::default(),
            faults: Mutex::default(),
            machines: Mutex::new(MachineList::new(MACHINE_LIST_DELAY)),
            changed: Notify::new(),
            active_reads: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            origin: Instant::now(),
        });
        let router = Router::new()
            .route("/objects/{name}", get(read).put(write))
            .route("/machines", get(machines))
            .with_state(Arc::clone(&shared));
        let stop = CancellationToken::new();
        spawn_server(listener, router, stop.clone());
        Ok(Self { shared, address, stop })
    }

    /// Address that the API listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an object directly and unconditionally; returns the new version.
    pub fn put(&self, name: &str, value: String) -> Result<u64, StoreError> {
        let mut store = lock(&self.shared.store);
        let expected = store.get(name).map_or(0, |object| object.version);
        let version = store.put(name, expected, value);
        drop(store);
        self.shared.changed.notify_waiters();
        version
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ObjectFaults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Changes the machine list; `None` removes the machine.
    pub fn set_machine(&self, ip: IpAddr, state: Option<MachineState>) {
        let now = self.shared.now();
        lock(&self.shared.machines).set(ip, state, now);
    }

    /// Number of requests received, including failed ones.
    pub fn requests(&self) -> usize {
        self.shared.requests.load(Ordering::Relaxed)
    }

    /// Stops the object API abruptly, like a crash.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl Shared {
    fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_micros() as u64)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    /// Wait for a version greater than this one.
    watch_after: Option<u64>,
}

/// Decrements the number of active reads when dropped.
struct ReadGuard<'a>(&'a AtomicUsize);

impl Drop for ReadGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request and applies the injected faults; `Some` replaces the regular answer.
async fn apply_faults(shared: &Shared) -> Option<Response> {
    shared.requests.fetch_add(1, Ordering::Relaxed);
    let faults = lock(&shared.faults).clone();
    tokio::time::sleep(Duration::from_millis(faults.delay_millis)).await;
    faults.is_down.then(|| StatusCode::SERVICE_UNAVAILABLE.into_response())
}

async fn read(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    if let Some(response) = apply_faults(&shared).await {
        return response;
    }
    if shared.active_reads.fetch_add(1, Ordering::Relaxed) >= MAX_CONCURRENT_READS {
        shared.active_reads.fetch_sub(1, Ordering::Relaxed);
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    let _read_guard = ReadGuard(&shared.active_reads);
    match query.watch_after {
        None => object_response(lock(&shared.store).get(&name).cloned()),
        Some(version) => watch(&shared, &name, version).await,
    }
}

async fn watch(shared: &Shared, name: &str, version: u64) -> Response {
    let deadline = Instant::now() + WATCH_TIMEOUT;
    loop {
        let changed = shared.changed.notified();
        let state = lock(&shared.store).changed_since(name, version).map(|object| object.cloned());
        match state {
            Err(error) => return object_response(Err(error)),
            Ok(Some(object)) => return object_response(Ok(object)),
            Ok(None) => {}
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return StatusCode::NOT_MODIFIED.into_response();
        }
    }
}

fn object_response(object: Result<StoredObject, StoreError>) -> Response {
    match object {
        Ok(object) => Json(json!({"version": object.version, "value": object.value})).into_response(),
        Err(StoreError::NotFound) => StatusCode::NOT_FOUND.into_response(),
        Err(StoreError::Expired) => StatusCode::GONE.into_response(),
        Err(StoreError::Conflict(version)) => {
            (StatusCode::CONFLICT, Json(json!({"version": version}))).into_response()
        }
    }
}

async fn write(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    headers: HeaderMap,
    value: String,
) -> Response {
    if let Some(response) = apply_faults(&shared).await {
        return response;
    }
    let expected = headers.get("if-match").and_then(|value| value.to_str().ok()).unwrap_or_default();
    let Ok(expected) = expected.parse::<u64>() else { return StatusCode::BAD_REQUEST.into_response() };
    let outcome = lock(&shared.store).put(&name, expected, value);
    shared.changed.notify_waiters();
    let is_answer_lost = {
        let faults = &mut lock(&shared.faults);
        let is_answer_lost = outcome.is_ok() && faults.lost_answers > 0;
        faults.lost_answers -= usize::from(is_answer_lost);
        is_answer_lost
    };
    if is_answer_lost {
        return broken_response();
    }
    match outcome {
        Ok(version) => Json(json!({"version": version})).into_response(),
        Err(error) => object_response(Err(error)),
    }
}

fn broken_response() -> Response {
    let failing_body = futures::stream::once(async {
        Err::<bytes::Bytes, io::Error>(io::Error::new(io::ErrorKind::ConnectionReset, "lost"))
    });
    Response::new(Body::from_stream(failing_body))
}

async fn machines(State(shared): State<Arc<Shared>>) -> Response {
    if let Some(response) = apply_faults(&shared).await {
        return response;
    }
    let machines: Vec<MachineEntry> = lock(&shared.machines).visible(shared.now());
    Json(machines).into_response()
}

//! Listeners for callers and readiness probes, and graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sumacdrift_transport::configure_stream;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::connections::serve_connection;
use crate::edge::Edge;
use crate::wire_format::WireFormat;

/// Delay after a failed accept, typically caused by running out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a stopping edge waits for reports of crashes. A report takes a probe and a round trip.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for request headers on the readiness address.
const READINESS_HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Listening sockets of an edge.
#[allow(missing_docs)]
pub struct Listeners {
    pub callers: TcpListener,
    /// For readiness probes.
    pub ready: TcpListener,
    /// Path of readiness probes; other paths get 404.
    pub ready_path: &'static str,
}

/// Phases of a graceful shutdown.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownTimeouts {
    /// How long callers are still accepted after the edge reports that it is not ready.
    pub accept_for: Duration,
    /// How long calls in flight may then take to finish.
    pub finish_within: Duration,
}

/// Serves until `stop` is cancelled, then drains. Returns whether all connections finished in time.
pub async fn serve_listeners<D: WireFormat>(
    edge: Arc<Edge<D>>,
    listeners: Listeners,
    times: ShutdownTimeouts,
    stop: CancellationToken,
) -> bool {
    let close = CancellationToken::new();
    let tasks = TaskTracker::new();
    let ready = serve_readiness(Arc::clone(&edge), listeners.ready, listeners.ready_path);
    let ready = tokio::spawn(ready);
    let accepting = accept_callers(&edge, &listeners.callers, &close, &tasks);
    tokio::select! {
        () = accepting => {}
        () = stop_accepting(&edge, times, &stop) => {}
    }
    drop(listeners.callers);
    close.cancel();
    tasks.close();
    let until = Instant::now() + times.finish_within;
    let has_finished = tokio::time::timeout_at(until, tasks.wait()).await.is_ok();
    edge.finish_crash_reports(until.min(Instant::now() + CRASH_REPORT_TIMEOUT)).await;
    ready.abort();
    has_finished
}

async fn stop_accepting<D: WireFormat>(edge: &Edge<D>, times: ShutdownTimeouts, stop: &CancellationToken) {
    stop.cancelled().await;
    edge.begin_stop();
    tokio::time::sleep(times.accept_for).await;
}

async fn accept_callers<D: WireFormat>(
    edge: &Arc<Edge<D>>,
    listener: &TcpListener,
    close: &CancellationToken,
    tasks: &TaskTracker,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if configure_stream(&stream).is_ok() => {
                if let Some(accepted) = edge.accept_caller() {
                    serve_connection(edge, stream, accepted, close.clone(), tasks);
                }
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_readiness<D: WireFormat>(edge: Arc<Edge<D>>, listener: TcpListener, path: &'static str) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_readiness_connection(Arc::clone(&edge), stream, path),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

fn serve_readiness_connection<D: WireFormat>(edge: Arc<Edge<D>>, stream: TcpStream, path: &'static str) {
    let service = service_fn(move |request: Request<Incoming>| {
        let status = match (request.uri().path() == path, edge.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = status;
        std::future::ready(Ok::<_, Infallible>(response))
    });
    tokio::spawn(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(READINESS_HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service),
    );
}

//! HTTP listener with a connection limit, a header timeout and graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::Request;
use hyper::body::Incoming;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use sumacdrift_http_server::{CallerSocket, ConnectionState};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

/// Delay after a failed accept, such as when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest read buffer of a connection, and with it the largest head of a request.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Limits on connections from callers.
#[derive(Debug, Clone, Copy)]
pub struct ListenerSettings {
    /// Maximum number of concurrent connections; further ones wait to be accepted.
    pub connections: usize,
    /// Time limit for receiving a request's headers; also closes half-open connections.
    pub header_timeout: Duration,
    /// How long a shutdown waits for responses in flight.
    pub drain_timeout: Duration,
}

/// Serves until `stop` is cancelled, then drains. Returns whether all responses in flight finished in time.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    settings: ListenerSettings,
    stop: CancellationToken,
) -> bool {
    let slots = Arc::new(Semaphore::new(settings.connections));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = accept(&listener, &slots) => accepted,
        };
        match accepted {
            Ok((stream, slot)) => serve_connection(stream, slot, router.clone(), settings, &graceful),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    tokio::time::timeout(settings.drain_timeout, graceful.shutdown()).await.is_ok()
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots).acquire_owned().await.map_err(std::io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, slot))
}

fn serve_connection(
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
    router: Router,
    settings: ListenerSettings,
    graceful: &GracefulShutdown,
) {
    let state = ConnectionState::default();
    let socket = CallerSocket::new(stream, state.clone());
    let service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let (router, state) = (router.clone(), state.clone());
        async move {
            let version = request.version();
            let answer = router.oneshot(state.observe_request(request).map(Body::new)).await?;
            Ok::<_, Infallible>(state.observe_answer(version, answer))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.header_timeout)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // An error means that the client disconnected or violated the protocol; nothing is left to answer.
        let _ = connection.await;
        drop(slot);
    });
}

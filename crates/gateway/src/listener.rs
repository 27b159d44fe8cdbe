//! Listening for callers: limits on connections and slow clients, and a stop that cuts nothing.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::Request;
use hyper::body::Incoming;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

/// Pause after a failed accept, which running out of descriptors causes.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits on connections.
#[derive(Debug, Clone, Copy)]
pub struct ListenerSettings {
    /// Connections at a time; further ones wait to be accepted.
    pub connections: usize,
    /// Time for a request's headers, which also ends connections that are half open.
    pub header_timeout: Duration,
    /// How long a stop waits for answers under way.
    pub drain_timeout: Duration,
}

/// Serves until `stop` is cancelled, then lets every answer under way finish. Returns whether all did.
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
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
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
    let service = hyper::service::service_fn(move |request: Request<Incoming>| {
        router.clone().oneshot(request.map(Body::new))
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.header_timeout)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // An error here is a client that broke off or broke the protocol; it has been answered or is gone.
        let _ = connection.await;
        drop(slot);
    });
}

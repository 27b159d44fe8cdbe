//! Caller connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sumacdrift_http_server::CallerSocket;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::call::serve_call;
use crate::caller_connections::AcceptedConnection;
use crate::edge::Edge;
use crate::wire_format::WireFormat;

/// Limits until a configuration is in force.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_HEADER_BYTES: usize = 16 << 10;
/// The minimum buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Serves a caller's connection. Cancelling `close` closes it after the request in flight.
pub(crate) fn serve_connection<D: WireFormat>(
    edge: &Arc<Edge<D>>,
    stream: TcpStream,
    accepted: AcceptedConnection,
    close: CancellationToken,
    tasks: &TaskTracker,
) {
    let limits = edge.limits();
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_time);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    let edge = Arc::clone(edge);
    let state = accepted.state.clone();
    let socket = CallerSocket::new(stream, state.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (edge, state) = (Arc::clone(&edge), state.clone());
        // Boxed, so that an idle connection does not hold memory for a call.
        Box::pin(async move {
            let version = request.version();
            let answer = serve_call(edge, state.observe_request(request)).await?;
            Ok::<_, Infallible>(state.observe_answer(version, answer))
        })
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    tasks.spawn(async move {
        tokio::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => return,
            () = must_make_room(&accepted) => return,
            () = close.cancelled() => connection.as_mut().graceful_shutdown(),
        }
        // The caller disconnected or violated the protocol; nothing is left to respond to.
        let _ = connection.await;
    });
}

/// Returns once a connection has to make room for another one and can be closed.
async fn must_make_room(accepted: &AcceptedConnection) {
    accepted.close.notified().await;
    // A request may have been read completely since the connection was chosen. It is served, and the connection stays.
    if !accepted.state.is_closable() {
        std::future::pending::<()>().await;
    }
}

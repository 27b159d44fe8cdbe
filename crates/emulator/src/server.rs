//! Background HTTP servers with abrupt shutdown.

use axum::Router;
use axum::serve::ListenerExt;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Serves in the background until `stop` is cancelled, which ends the server abruptly, like a crash.
pub(crate) fn spawn_server(listener: TcpListener, router: Router, stop: CancellationToken) {
    tokio::spawn(async move {
        let listener = listener.tap_io(|stream| {
            // Nagle's algorithm would delay the small chunks of a stream.
            let _ = stream.set_nodelay(true);
        });
        tokio::select! {
            () = stop.cancelled() => {}
            _ = axum::serve(listener, router) => {}
        }
    });
}

//! Serving the stand-ins' HTTP faces.

use axum::Router;
use axum::serve::ListenerExt;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Serves in the background until `stop` is cancelled, which ends it at once, as a crash does.
pub(crate) fn spawn_server(listener: TcpListener, router: Router, stop: CancellationToken) {
    tokio::spawn(async move {
        let listener = listener.tap_io(|stream| {
            // Small pieces of a stream must not wait for each other's acknowledgement.
            let _ = stream.set_nodelay(true);
        });
        tokio::select! {
            () = stop.cancelled() => {}
            _ = axum::serve(listener, router) => {}
        }
    });
}

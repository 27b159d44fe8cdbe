//! A client that stalls before its request headers are complete.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use sumacdrift_gateway::{ListenerSettings, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

async fn start(stop: CancellationToken) -> (SocketAddr, tokio::task::JoinHandle<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let settings = ListenerSettings {
        connections: 4,
        header_timeout: Duration::from_millis(200),
        drain_timeout: Duration::from_secs(10),
    };
    let router = Router::new().route("/", get(|| async { "here" }));
    (address, tokio::spawn(serve(listener, router, settings, stop)))
}

#[tokio::test]
async fn a_half_open_connection_is_closed_while_others_are_served() {
    let stop = CancellationToken::new();
    let (address, server) = start(stop.clone()).await;
    let mut half_open = TcpStream::connect(address).await.expect("a connection");
    half_open.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n").await.expect("half a request");
    let mut other = TcpStream::connect(address).await.expect("a connection");
    let request = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    other.write_all(request).await.expect("a request");
    let mut answer = String::new();
    other.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let mut remaining = Vec::new();
    // The server closes the connection at the header timeout.
    let _ = half_open.read_to_end(&mut remaining).await;
    stop.cancel();
    assert!(server.await.expect("the server task ends"), "all connections must be closed");
}

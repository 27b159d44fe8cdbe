//! A client that begins a request and never goes on.

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
async fn a_half_open_client_is_cut_off_and_others_are_served() {
    let stop = CancellationToken::new();
    let (address, server) = start(stop.clone()).await;
    let mut half_open = TcpStream::connect(address).await.expect("a connection");
    half_open.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n").await.expect("half a request");
    let mut whole = TcpStream::connect(address).await.expect("a connection");
    let request = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    whole.write_all(request).await.expect("a request");
    let mut answer = String::new();
    whole.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let mut rest = Vec::new();
    // The end of the stream comes when the time for headers is over.
    let _ = half_open.read_to_end(&mut rest).await;
    stop.cancel();
    assert!(server.await.expect("it ends"), "no connection may be left");
}

//! Outgoing HTTP: pooled connections and errors that tell whether a request can have been received.
//!
//! The difference matters more here than in most clients: "not run" may be said only of a request of which no
//! byte was sent.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a connection may be silent before the peer is probed, and the time between probes.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as broken.
const PROBES: u32 = 3;

/// An outgoing request failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// No connection could be opened; nothing was sent.
    #[error("no connection to the back end: {0}")]
    NotSent(String),
    /// The connection broke after something may have been sent.
    #[error("the connection to the back end broke: {0}")]
    Broken(String),
    /// Nothing came in time.
    #[error("the back end did not answer in time")]
    TimedOut,
    /// The answer is larger than allowed.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
}

/// A client with a pool of connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// A client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // A peer that lost its power says nothing; probes notice it while an answer is waited for.
        connector.set_keepalive(Some(PROBE_AFTER));
        connector.set_keepalive_interval(Some(PROBE_AFTER));
        connector.set_keepalive_retries(Some(PROBES));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // A pooled connection that closed meanwhile would be retried without a word; the caller decides
            // about retries here.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        match tokio::time::timeout(timeout, self.client.request(request)).await {
            Err(_) => Err(HttpError::TimedOut),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(HttpError::NotSent(describe(&error))),
            Ok(Err(error)) => Err(HttpError::Broken(describe(&error))),
        }
    }

    /// Sends a request and gathers the whole answer.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, HttpError> {
        let exchange = async {
            let (head, body) = self.send(request, timeout).await?.into_parts();
            let body = gather(body, max_bytes).await?;
            Ok(Response::from_parts(head, body))
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(HttpError::TimedOut))
    }
}

/// The next piece of an answer's body; `None` at its regular end.
pub async fn next_piece(body: &mut Incoming) -> Result<Option<Bytes>, HttpError> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(error)) => return Err(HttpError::Broken(error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// A whole body of at most `max_bytes`. One that comes in a single piece is not copied.
pub async fn gather(mut body: Incoming, max_bytes: usize) -> Result<Bytes, HttpError> {
    let mut first = Bytes::new();
    let mut gathered = BytesMut::new();
    while let Some(piece) = next_piece(&mut body).await? {
        if first.len().max(gathered.len()) + piece.len() > max_bytes {
            return Err(HttpError::TooLarge(max_bytes));
        }
        if first.is_empty() {
            first = piece;
            continue;
        }
        if gathered.is_empty() {
            gathered.extend_from_slice(&first);
        }
        gathered.extend_from_slice(&piece);
    }
    Ok(if gathered.is_empty() { first } else { gathered.freeze() })
}

fn describe(error: &hyper_util::client::legacy::Error) -> String {
    let source = std::error::Error::source(error);
    source.map_or_else(|| error.to_string(), ToString::to_string)
}

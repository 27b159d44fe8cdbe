//! HTTP client with a connection pool, whose errors show whether the request can have been received.
//!
//! The distinction matters because "not run" may be claimed only for a request of which no byte was sent.

mod framing;

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

pub use framing::BodyFraming;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle time before the first TCP keep-alive probe, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as broken.
const KEEPALIVE_RETRIES: u32 = 3;

/// Highest status that HTTP has.
const MAX_STATUS: u16 = 599;

/// Why a request failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// No connection could be opened; nothing was sent.
    #[error("could not connect to the back end: {0}")]
    NotSent(String),
    /// The connection broke after something may have been sent.
    #[error("connection to the back end failed: {0}")]
    ConnectionLost(String),
    /// No response arrived in time; the request may have been received.
    #[error("back end did not respond in time")]
    TimedOut,
    /// The response exceeds the given number of bytes.
    #[error("response exceeds {0} bytes")]
    TooLarge(usize),
    /// The end of the response would be that of its connection, which also comes if the back end is killed.
    #[error("response has neither a length nor chunks")]
    Unframed,
    /// HTTP does not have the status of the response.
    #[error("response has the invalid status {0}")]
    InvalidStatus(u16),
}

/// Requests that a connection may carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionUse {
    Pooled,
    /// A server may send more responses than it got requests. One that doesn't name its request can't be told from the response
    /// to the next one, unless there is none.
    SingleRequest,
}

/// An HTTP client; clones share its connection pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    connection_use: ConnectionUse,
    requires_framing: bool,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client with a connection pool; connections are opened on demand.
    pub fn new() -> Self {
        Self::build(ConnectionUse::Pooled)
    }

    /// Creates a client that opens a connection for each request, for servers whose responses don't name their requests.
    pub fn without_reuse() -> Self {
        Self::build(ConnectionUse::SingleRequest)
    }

    /// Rejects responses that have neither a length nor chunks, so that half of one is never taken for the whole.
    pub fn requiring_framing(self) -> Self {
        Self { requires_framing: true, ..self }
    }

    fn build(connection_use: ConnectionUse) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // Keep-alive probes detect a peer that lost power while its response is awaited.
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // Without this, requests on a pooled connection that has closed would be retried silently; the caller
            // decides about retries.
            .retry_canceled_requests(false);
        if connection_use == ConnectionUse::SingleRequest {
            builder.pool_max_idle_per_host(0);
        }
        Self { client: builder.build(connector), connection_use, requires_framing: false }
    }

    /// Sends a request and waits for the response head, at most for `timeout`.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        if self.connection_use == ConnectionUse::SingleRequest {
            request.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        match tokio::time::timeout(timeout, self.client.request(request)).await {
            Err(_) => Err(HttpError::TimedOut),
            Ok(Ok(response)) if !is_http_status(response.status()) => {
                Err(HttpError::InvalidStatus(response.status().as_u16()))
            }
            Ok(Ok(response)) => self.check_framing(response),
            Ok(Err(error)) if error.is_connect() => Err(HttpError::NotSent(describe(&error))),
            Ok(Err(error)) => Err(HttpError::ConnectionLost(describe(&error))),
        }
    }

    fn check_framing(&self, response: Response<Incoming>) -> Result<Response<Incoming>, HttpError> {
        let (head, body) = response.into_parts();
        if self.requires_framing && BodyFraming::of(&head, &body) == BodyFraming::UntilClose {
            return Err(HttpError::Unframed);
        }
        Ok(Response::from_parts(head, body))
    }

    /// Sends a request and reads the whole response, within `timeout` in total.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, HttpError> {
        let exchange = async {
            let (head, body) = self.send(request, timeout).await?.into_parts();
            let body = read_body(body, max_bytes).await?;
            Ok(Response::from_parts(head, body))
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(HttpError::TimedOut))
    }
}

/// Whether HTTP has a status. The parser rejects what has no three digits, or is below 100, but nothing above.
pub fn is_http_status(status: StatusCode) -> bool {
    status.as_u16() <= MAX_STATUS
}

/// The next chunk of a body; `None` at its regular end.
pub async fn next_chunk<B>(body: &mut B) -> Result<Option<Bytes>, HttpError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(error)) => return Err(HttpError::ConnectionLost(error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// Reads a whole body of at most `max_bytes`. A body that arrives in one chunk is not copied.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, HttpError> {
    let body = read_body_while(body, |bytes| bytes <= max_bytes).await?;
    body.ok_or(HttpError::TooLarge(max_bytes))
}

/// Reads a whole body; `None` as soon as `fits` rejects its size in bytes so far. A body that arrives in one chunk is not
/// copied.
pub async fn read_body_while<B>(
    mut body: B,
    mut fits: impl FnMut(usize) -> bool,
) -> Result<Option<Bytes>, HttpError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut first_chunk = Bytes::new();
    let mut buffer = BytesMut::new();
    while let Some(chunk) = next_chunk(&mut body).await? {
        if !fits(first_chunk.len().max(buffer.len()) + chunk.len()) {
            return Ok(None);
        }
        if first_chunk.is_empty() {
            first_chunk = chunk;
            continue;
        }
        if buffer.is_empty() {
            buffer.extend_from_slice(&first_chunk);
        }
        buffer.extend_from_slice(&chunk);
    }
    Ok(Some(if buffer.is_empty() { first_chunk } else { buffer.freeze() }))
}

fn describe(error: &hyper_util::client::legacy::Error) -> String {
    let source = std::error::Error::source(error);
    source.map_or_else(|| error.to_string(), ToString::to_string)
}

//! Connections to engines. One connection carries one request at a time; a resting one is used again only while the
//! engine surely keeps it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sumacdrift_calls::EngineId;
use sumacdrift_transport::configure_stream;
use sumacdrift_types::{Mechanism, SwitchedOff};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::headers::{keep_alive_seconds, says_close};
use crate::rest_limit::{Reset, RestLimit};

/// Time for a new connection; engines answer within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection may rest where the engine does not say how long it keeps one.
const DEFAULT_REST: Duration = Duration::from_millis(900);
/// How much sooner than the engine a resting connection is given up.
const REST_MARGIN: Duration = Duration::from_millis(700);
/// Time for a resting connection to show that it is alive.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Bytes that a connection reads at once, and keeps room for while it rests. Heads and events are far smaller.
const READ_BUFFER_BYTES: usize = 2 << 10;

type Sender = SendRequest<Full<Bytes>>;

/// A request could not be sent, or no answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No byte was sent.
    NotSent,
    /// No byte was sent, as the engine may not get the call any more.
    Withheld,
    /// It may have been received.
    Lost,
}

struct Resting {
    sender: Sender,
    since: Instant,
    until: Instant,
}

/// A connection that may carry the next request.
struct Rested {
    sender: Sender,
    rested: Duration,
}

/// Connections to engines, by engine.
pub(crate) struct EnginePool {
    off: SwitchedOff,
    resting: Mutex<HashMap<EngineId, Vec<Resting>>>,
    rest_limit: Mutex<RestLimit>,
    clock: Clock,
}

/// An engine's answer: its head, its body, and the connection that it comes on.
pub(crate) struct PoolAnswer {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: UsedConnection,
    /// How long the connection took to come up, where it is new.
    pub(crate) connected_in: Option<Duration>,
}

/// A connection that carries an answer. Dropping it closes the connection, which tells the engine to stop.
pub(crate) struct UsedConnection {
    sender: Sender,
    engine: EngineId,
    pool: Arc<EnginePool>,
    rest: Option<Duration>,
}

impl UsedConnection {
    /// The answer was read to its end; the connection may serve again.
    pub(crate) fn release(self) {
        let Some(rest) = self.rest else { return };
        let now = Instant::now();
        let resting = Resting { sender: self.sender, since: now, until: now + rest };
        let mut pool = self.pool.resting.lock().unwrap_or_else(PoisonError::into_inner);
        pool.entry(self.engine).or_default().push(resting);
    }
}

impl EnginePool {
    /// No connections yet.
    pub(crate) fn new(off: SwitchedOff) -> Self {
        Self { off, resting: Mutex::default(), rest_limit: Mutex::default(), clock: Clock::default() }
    }

    /// Sends a request and waits for the head of the answer. `may_send` is asked right before the sending: a connection may
    /// take a quarter of a second to come up.
    pub(crate) async fn send(
        self: &Arc<Self>,
        engine: &EngineId,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        may_send: &(dyn Fn() -> bool + Sync),
    ) -> Result<PoolAnswer, SendError> {
        let mut request = request;
        while let Some(Rested { mut sender, rested }) = self.take(engine) {
            if !matches!(tokio::time::timeout(READY_TIMEOUT, sender.ready()).await, Ok(Ok(()))) {
                continue;
            }
            if !may_send() {
                self.rest_again(engine, sender);
                return Err(SendError::Withheld);
            }
            let sent = Instant::now();
            match sender.try_send_request(request).await {
                Ok(answer) => return Ok(self.answer(engine, sender, answer, None)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(self.lost(Some(rested), sent)),
                },
            }
        }
        let connecting_since = Instant::now();
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await;
        let Ok(Some(mut sender)) = connecting else { return Err(SendError::NotSent) };
        let connected_in = connecting_since.elapsed();
        if !may_send() {
            self.rest_again(engine, sender);
            return Err(SendError::Withheld);
        }
        let sent = Instant::now();
        match sender.try_send_request(request).await {
            Ok(answer) => Ok(self.answer(engine, sender, answer, Some(connected_in))),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::NotSent,
                None => self.lost(None, sent),
            }),
        }
    }

    /// A connection that was about to be used rests again.
    fn rest_again(&self, engine: &EngineId, sender: Sender) {
        let now = Instant::now();
        let resting = Resting { sender, since: now, until: now + DEFAULT_REST };
        let mut pool = self.resting.lock().unwrap_or_else(PoisonError::into_inner);
        pool.entry(engine.clone()).or_default().push(resting);
    }

    /// A request was reset; learns from it.
    fn lost(&self, rested: Option<Duration>, sent: Instant) -> SendError {
        if !self.off.allows(Mechanism::RestLimit) {
            return SendError::Lost;
        }
        let reset = Reset { rested, after: sent.elapsed() };
        self.rest_limit().was_reset(reset, self.clock.now());
        SendError::Lost
    }

    /// Whether a connection to the engine rests.
    pub(crate) fn is_connected(&self, engine: &EngineId) -> bool {
        let now = Instant::now();
        let pool = self.resting.lock().unwrap_or_else(PoisonError::into_inner);
        pool.get(engine).is_some_and(|resting| resting.iter().any(|connection| connection.until > now))
    }

    /// Closes connections that have rested too long, and those of engines that are gone.
    pub(crate) fn sweep(&self, is_known: impl Fn(&EngineId) -> bool) {
        let now = Instant::now();
        let mut pool = self.resting.lock().unwrap_or_else(PoisonError::into_inner);
        pool.retain(|engine, resting| {
            resting.retain(|connection| connection.until > now && !connection.sender.is_closed());
            !resting.is_empty() && is_known(engine)
        });
    }

    fn rest_limit(&self) -> MutexGuard<'_, RestLimit> {
        self.rest_limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, engine: &EngineId) -> Option<Rested> {
        let now = Instant::now();
        let limit = *self.rest_limit();
        let mut pool = self.resting.lock().unwrap_or_else(PoisonError::into_inner);
        let resting = pool.get_mut(engine)?;
        // The one used last has the longest time left.
        while let Some(connection) = resting.pop() {
            let rested = now.duration_since(connection.since);
            let may_serve = connection.until > now && limit.allows(rested, self.clock.now());
            if may_serve && !connection.sender.is_closed() {
                return Some(Rested { sender: connection.sender, rested });
            }
        }
        None
    }

    fn answer(
        self: &Arc<Self>,
        engine: &EngineId,
        sender: Sender,
        answer: http::Response<Incoming>,
        connected_in: Option<Duration>,
    ) -> PoolAnswer {
        let (head, body) = answer.into_parts();
        let rest = if says_close(&head.headers) {
            None
        } else {
            match keep_alive_seconds(&head.headers) {
                Some(seconds) => Duration::from_secs(seconds).checked_sub(REST_MARGIN),
                None => Some(DEFAULT_REST),
            }
        };
        let connection = UsedConnection { sender, engine: engine.clone(), pool: Arc::clone(self), rest };
        PoolAnswer { head, body, connection, connected_in }
    }
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    configure_stream(&stream).ok()?;
    let mut builder = http1::Builder::new();
    builder.read_buf_exact_size(Some(READ_BUFFER_BYTES));
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // Ends when the sender is dropped or the engine closes; how requests fared is told to their senders.
        let _ = connection.await;
    });
    Some(sender)
}

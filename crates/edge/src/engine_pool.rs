//! Connection pool for engines. A connection carries one request at a time, and an idle one is reused only while
//! the engine can be expected to keep it open.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sumacdrift_calls::EngineId;
use sumacdrift_transport::configure_stream;
use sumacdrift_types::{DisabledMechanisms, Mechanism};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::headers::{has_connection_close, keep_alive_timeout_seconds};
use crate::idle_limit::{IdleLimit, Reset};

/// Timeout for new connections; engines accept within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle timeout if the engine does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// How much earlier than the engine the pool drops an idle connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Time for an idle connection to become ready for a request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Time after which an accepted connection would have been closed if nothing served it.
const CLOSE_TIME: Duration = Duration::from_millis(2);

/// Read buffer of a connection, also held while it is idle. Response heads and events are far smaller.
const READ_BUFFER_BYTES: usize = 2 << 10;

type Sender = SendRequest<Full<Bytes>>;

/// Whether a request may be sent on a connection that has carried others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    Allowed,
    Forbidden,
}

/// A request could not be sent, or no response arrived.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte was sent. Holds the error if the connection failed; `None` after a timeout.
    NotSent(Option<ConnectError>),
    /// No byte was sent, because the engine may no longer receive the call.
    Withheld,
    /// The engine may have received the request.
    Lost,
}

/// A connection to an engine could not be set up.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

impl ConnectError {
    /// Whether nothing listens at the address.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Socket(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Outcome of a probe.
pub(crate) enum Probe {
    /// The engine accepts no connections, or closes them at once, as a load balancer in front of it does.
    Refused,
    Accepted(ProbeConnection),
    /// Neither. The engine may only be partitioned from this node.
    Silent,
}

/// A connection that an engine has accepted and that carries no request.
pub(crate) struct ProbeConnection {
    sender: Sender,
    engine: EngineId,
    pool: Arc<EnginePool>,
}

impl ProbeConnection {
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the connection to the pool.
    pub(crate) fn release(self) {
        self.pool.return_unused(&self.engine, self.sender);
    }
}

/// Outcome of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    Responds,
    /// Another engine answers at the address.
    Another,
    Refused,
    /// No response, or one that names no engine and may be another process's.
    Silent,
}

/// A health check got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoResponse {
    Refused,
    Silent,
}

struct IdleConnection {
    sender: Sender,
    since: Instant,
    until: Instant,
}

/// An idle connection taken for reuse.
struct ReusableConnection {
    sender: Sender,
    idle_for: Duration,
}

pub(crate) struct EnginePool {
    disabled: DisabledMechanisms,
    idle: Mutex<HashMap<EngineId, Vec<IdleConnection>>>,
    idle_limit: Mutex<IdleLimit>,
    clock: Clock,
    /// Engines whose connections have ended, whichever side closed them.
    closed: mpsc::Sender<EngineId>,
}

pub(crate) struct PoolResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: ActiveConnection,
    /// Time to connect; `None` for a reused connection.
    pub(crate) connect_time: Option<Duration>,
}

/// A connection that carries a response. Dropping it closes the connection, which makes the engine cancel the call.
pub(crate) struct ActiveConnection {
    sender: Sender,
    engine: EngineId,
    pool: Arc<EnginePool>,
    idle_timeout: Option<Duration>,
}

impl ActiveConnection {
    /// Returns the connection to the pool after a complete response.
    pub(crate) fn release(self) {
        let Some(idle_timeout) = self.idle_timeout else { return };
        let now = Instant::now();
        let idle = IdleConnection { sender: self.sender, since: now, until: now + idle_timeout };
        let mut pool = self.pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
        pool.entry(self.engine).or_default().push(idle);
    }
}

impl EnginePool {
    /// A pool without connections. It tells `closed` of each one that ends.
    pub(crate) fn new(disabled: DisabledMechanisms, closed: mpsc::Sender<EngineId>) -> Self {
        let (idle, idle_limit) = (Mutex::default(), Mutex::default());
        Self { disabled, idle, idle_limit, clock: Clock::default(), closed }
    }

    /// Sends a request and waits for the response head. `may_send` is checked immediately before sending, since
    /// connecting may take as long as its timeout.
    pub(crate) async fn send(
        self: &Arc<Self>,
        engine: &EngineId,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: ConnectionReuse,
        may_send: &(dyn Fn() -> bool + Sync),
    ) -> Result<PoolResponse, SendError> {
        let mut request = request;
        while let Some(ReusableConnection { mut sender, idle_for }) = self.take_for(engine, reuse) {
            if !matches!(tokio::time::timeout(READY_TIMEOUT, sender.ready()).await, Ok(Ok(()))) {
                continue;
            }
            if !may_send() {
                self.return_unused(engine, sender);
                return Err(SendError::Withheld);
            }
            let sent = Instant::now();
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.pool_response(engine, sender, response, None)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(self.record_lost(Some(idle_for), sent)),
                },
            }
        }
        let connecting_since = Instant::now();
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.connect(engine, address)).await;
        let mut sender = match connecting {
            Ok(Ok(sender)) => sender,
            Ok(Err(error)) => return Err(SendError::NotSent(Some(error))),
            Err(_) => return Err(SendError::NotSent(None)),
        };
        let connect_time = connecting_since.elapsed();
        if !may_send() {
            self.return_unused(engine, sender);
            return Err(SendError::Withheld);
        }
        let sent = Instant::now();
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.pool_response(engine, sender, response, Some(connect_time))),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::NotSent(None),
                None => self.record_lost(None, sent),
            }),
        }
    }

    /// Opens a connection to find out whether the engine at this address still accepts any.
    pub(crate) async fn probe(
        self: &Arc<Self>,
        engine: &EngineId,
        address: SocketAddr,
        within: Duration,
    ) -> Probe {
        let probing = async {
            let sender = match self.connect(engine, address).await {
                Ok(sender) => sender,
                Err(error) if error.is_refused() => return Probe::Refused,
                Err(ConnectError::Socket(_)) => return Probe::Silent,
                Err(ConnectError::Http(_)) => return Probe::Refused,
            };
            tokio::time::sleep(CLOSE_TIME).await;
            if sender.is_closed() {
                return Probe::Refused;
            }
            Probe::Accepted(ProbeConnection { sender, engine: engine.clone(), pool: Arc::clone(self) })
        };
        tokio::time::timeout(within, probing).await.unwrap_or(Probe::Silent)
    }

    /// Sends a health check on a connection of its own; returns the head of the response.
    pub(crate) async fn request_health(
        &self,
        address: SocketAddr,
        path: &str,
        headers: HeaderMap,
        within: Duration,
    ) -> Result<response::Parts, NoResponse> {
        let exchange = async {
            let mut sender = match connect(address, async {}).await {
                Ok(sender) => sender,
                Err(error) if error.is_refused() => return Err(NoResponse::Refused),
                Err(_) => return Err(NoResponse::Silent),
            };
            let request = Request::get(path).header(HOST, address.to_string()).body(Full::default());
            let Ok(mut request) = request else { return Err(NoResponse::Silent) };
            request.headers_mut().extend(headers);
            let response = sender.send_request(request).await.map_err(|_| NoResponse::Silent)?;
            Ok(response.into_parts().0)
        };
        tokio::time::timeout(within, exchange).await.unwrap_or(Err(NoResponse::Silent))
    }

    /// Opens a connection whose end is told.
    async fn connect(&self, engine: &EngineId, address: SocketAddr) -> Result<Sender, ConnectError> {
        let (closed, engine) = (self.closed.clone(), engine.clone());
        let tell = async move {
            // If the channel is full, the engine's end is found in another way.
            let _ = closed.try_send(engine);
        };
        connect(address, tell).await
    }

    /// Removes the idle connections that an engine has closed; returns whether there were any.
    pub(crate) fn remove_closed(&self, engine: &EngineId) -> bool {
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(idle) = pool.get_mut(engine) else { return false };
        let before = idle.len();
        idle.retain(|connection| !connection.sender.is_closed());
        idle.len() < before
    }

    /// Returns a connection to the pool without having used it.
    fn return_unused(&self, engine: &EngineId, sender: Sender) {
        let now = Instant::now();
        let idle = IdleConnection { sender, since: now, until: now + DEFAULT_IDLE_TIMEOUT };
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        pool.entry(engine.clone()).or_default().push(idle);
    }

    /// Records a reset for the idle limit.
    fn record_lost(&self, idle_for: Option<Duration>, sent: Instant) -> SendError {
        if !self.disabled.is_enabled(Mechanism::IdleLimit) {
            return SendError::Lost;
        }
        let reset = Reset { idle_for, delay: sent.elapsed() };
        self.idle_limit().record_reset(reset, self.clock.now());
        SendError::Lost
    }

    /// Whether the pool holds an idle connection to the engine.
    pub(crate) fn is_connected(&self, engine: &EngineId) -> bool {
        let now = Instant::now();
        let pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        pool.get(engine).is_some_and(|idle| idle.iter().any(|connection| connection.until > now))
    }

    /// Closes expired connections, and those of engines that are not known any more.
    pub(crate) fn sweep(&self, is_known: impl Fn(&EngineId) -> bool) {
        let now = Instant::now();
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        pool.retain(|engine, idle| {
            idle.retain(|connection| connection.until > now && !connection.sender.is_closed());
            !idle.is_empty() && is_known(engine)
        });
    }

    fn idle_limit(&self) -> MutexGuard<'_, IdleLimit> {
        self.idle_limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_for(&self, engine: &EngineId, reuse: ConnectionReuse) -> Option<ReusableConnection> {
        match reuse {
            ConnectionReuse::Allowed => self.take(engine),
            ConnectionReuse::Forbidden => None,
        }
    }

    fn take(&self, engine: &EngineId) -> Option<ReusableConnection> {
        let now = Instant::now();
        let limit = *self.idle_limit();
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = pool.get_mut(engine)?;
        // The connection used last has the longest time left.
        while let Some(connection) = idle.pop() {
            let idle_for = now.duration_since(connection.since);
            let may_serve = connection.until > now && limit.allows(idle_for, self.clock.now());
            if may_serve && !connection.sender.is_closed() {
                return Some(ReusableConnection { sender: connection.sender, idle_for });
            }
        }
        None
    }

    fn pool_response(
        self: &Arc<Self>,
        engine: &EngineId,
        sender: Sender,
        response: http::Response<Incoming>,
        connect_time: Option<Duration>,
    ) -> PoolResponse {
        let (head, body) = response.into_parts();
        let idle_timeout = if has_connection_close(&head.headers) {
            None
        } else {
            match keep_alive_timeout_seconds(&head.headers) {
                Some(seconds) => Duration::from_secs(seconds).checked_sub(IDLE_TIMEOUT_MARGIN),
                None => Some(DEFAULT_IDLE_TIMEOUT),
            }
        };
        let connection =
            ActiveConnection { sender, engine: engine.clone(), pool: Arc::clone(self), idle_timeout };
        PoolResponse { head, body, connection, connect_time }
    }
}

/// Opens a connection; `on_close` runs once it has ended.
async fn connect(
    address: SocketAddr,
    on_close: impl Future<Output = ()> + Send + 'static,
) -> Result<Sender, ConnectError> {
    let stream = TcpStream::connect(address).await?;
    configure_stream(&stream)?;
    let mut builder = http1::Builder::new();
    builder.read_buf_exact_size(Some(READ_BUFFER_BYTES));
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // Ends when the sender is dropped or the engine closes the connection. Errors are reported through the
        // sender.
        let _ = connection.await;
        on_close.await;
    });
    Ok(sender)
}

//! The network abstraction, and TCP.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A bidirectional byte stream.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// A boxed byte stream.
pub type BoxedStream = Box<dyn Stream>;

/// A boxed future.
pub type BoxedFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Opens and accepts streams.
pub trait Network: Send + Sync {
    /// Opens a stream to an address.
    fn connect(&self, to: SocketAddr) -> BoxedFuture<'_, io::Result<BoxedStream>>;

    /// Listens on an address.
    fn listen(&self, at: SocketAddr) -> BoxedFuture<'_, io::Result<Box<dyn Acceptor>>>;
}

/// Accepts streams on one address.
pub trait Acceptor: Send {
    /// Waits for the next stream.
    fn accept(&mut self) -> BoxedFuture<'_, io::Result<BoxedStream>>;

    /// The bound address; it has the actual port if port 0 was requested.
    fn local_address(&self) -> SocketAddr;
}

/// TCP with the system's default timeouts.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpNetwork;

impl Network for TcpNetwork {
    fn connect(&self, to: SocketAddr) -> BoxedFuture<'_, io::Result<BoxedStream>> {
        Box::pin(async move { connect(to, disable_nagle).await })
    }

    fn listen(&self, at: SocketAddr) -> BoxedFuture<'_, io::Result<Box<dyn Acceptor>>> {
        Box::pin(async move { listen_with(at, disable_nagle) })
    }
}

/// TCP between nearby nodes: connecting fails fast, and a silent peer is detected within seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailFastTcpNetwork;

/// Connect timeout between nodes that are milliseconds apart. Connecting to a node that is still starting must fail
/// soon, so that the next attempt can succeed.
const NEARBY_CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

impl Network for FailFastTcpNetwork {
    fn connect(&self, to: SocketAddr) -> BoxedFuture<'_, io::Result<BoxedStream>> {
        Box::pin(
            async move { tokio::time::timeout(NEARBY_CONNECT_TIMEOUT, connect(to, configure_stream)).await? },
        )
    }

    fn listen(&self, at: SocketAddr) -> BoxedFuture<'_, io::Result<Box<dyn Acceptor>>> {
        Box::pin(async move { listen_with(at, configure_stream) })
    }
}

/// Sets the socket options of a new connection.
type ConfigureStream = fn(&TcpStream) -> io::Result<()>;

/// Disables Nagle's algorithm, which would delay small frames.
fn disable_nagle(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}

async fn connect(to: SocketAddr, configure: ConfigureStream) -> io::Result<BoxedStream> {
    let stream = TcpStream::connect(to).await?;
    configure(&stream)?;
    Ok(Box::new(stream) as BoxedStream)
}

fn listen_with(at: SocketAddr, configure: ConfigureStream) -> io::Result<Box<dyn Acceptor>> {
    let listener = listen_tcp(at)?;
    let address = listener.local_addr()?;
    Ok(Box::new(TcpAcceptor { listener, address, configure }) as Box<dyn Acceptor>)
}

/// How long sent bytes may stay unacknowledged before the connection counts as broken. Without it, a connection to
/// a peer that lost power would hang for minutes.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time before the first TCP keep-alive probe, and the time between probes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets the socket options of a connection that must detect a silent peer: no delay, user timeout and keep-alive.
pub fn configure_stream(stream: &TcpStream) -> io::Result<()> {
    disable_nagle(stream)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive =
        socket2::TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Backlog of connections to be accepted. The default of 128 overflows when a few hundred callers connect at once,
/// and each rejected one waits a second before it retries.
const LISTEN_BACKLOG: u32 = 4096;

/// Listens on a TCP address, with a backlog for bursts of connections.
pub fn listen_tcp(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Lets a restarted node bind its address while old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(LISTEN_BACKLOG)
}

struct TcpAcceptor {
    listener: TcpListener,
    address: SocketAddr,
    configure: ConfigureStream,
}

impl Acceptor for TcpAcceptor {
    fn accept(&mut self) -> BoxedFuture<'_, io::Result<BoxedStream>> {
        Box::pin(async move {
            let (stream, _) = self.listener.accept().await?;
            (self.configure)(&stream)?;
            Ok(Box::new(stream) as BoxedStream)
        })
    }

    fn local_address(&self) -> SocketAddr {
        self.address
    }
}

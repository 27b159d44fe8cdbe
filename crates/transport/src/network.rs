//! Where streams come from.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A byte stream in both directions.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// A byte stream whose kind does not matter.
pub type BoxedStream = Box<dyn Stream>;

/// A future whose kind does not matter.
pub type BoxedFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Makes and accepts streams.
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

    /// The address in fact listened on, which differs from the one asked for where that had port 0.
    fn local_address(&self) -> SocketAddr;
}

/// TCP.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpNetwork;

impl Network for TcpNetwork {
    fn connect(&self, to: SocketAddr) -> BoxedFuture<'_, io::Result<BoxedStream>> {
        Box::pin(async move { connect(to, send_at_once).await })
    }

    fn listen(&self, at: SocketAddr) -> BoxedFuture<'_, io::Result<Box<dyn Acceptor>>> {
        Box::pin(async move { accept_with(at, send_at_once) })
    }
}

/// TCP between nodes that are milliseconds apart: a peer that fell silent is noticed within seconds, and a connection
/// that does not come up is given up soon.
#[derive(Debug, Clone, Copy, Default)]
pub struct WatchfulTcpNetwork;

/// Time for a connection between nodes that are milliseconds apart. One to a node that is just coming up must fail
/// soon, so that the next one finds it there.
const NEAR_CONNECT_TIME: Duration = Duration::from_millis(120);

impl Network for WatchfulTcpNetwork {
    fn connect(&self, to: SocketAddr) -> BoxedFuture<'_, io::Result<BoxedStream>> {
        Box::pin(async move { tokio::time::timeout(NEAR_CONNECT_TIME, connect(to, tune)).await? })
    }

    fn listen(&self, at: SocketAddr) -> BoxedFuture<'_, io::Result<Box<dyn Acceptor>>> {
        Box::pin(async move { accept_with(at, tune) })
    }
}

/// Sets a new connection's options.
type Prepare = fn(&TcpStream) -> io::Result<()>;

/// Small frames must not wait for each other's acknowledgement.
fn send_at_once(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}

async fn connect(to: SocketAddr, prepare: Prepare) -> io::Result<BoxedStream> {
    let stream = TcpStream::connect(to).await?;
    prepare(&stream)?;
    Ok(Box::new(stream) as BoxedStream)
}

fn accept_with(at: SocketAddr, prepare: Prepare) -> io::Result<Box<dyn Acceptor>> {
    let listener = listen_tcp(at)?;
    let address = listener.local_addr()?;
    Ok(Box::new(TcpAcceptor { listener, address, prepare }) as Box<dyn Acceptor>)
}

/// How long sent bytes may stay unacknowledged before the connection counts as broken. A peer without power says
/// nothing; without this limit a connection to it would hang for minutes.
pub const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1500);
/// How long a connection may be silent before the peer is probed, and the time between probes.
pub const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Sends small pieces at once and notices a peer that fell silent.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    send_at_once(stream)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let probes = socket2::TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER);
    socket.set_tcp_keepalive(&probes)
}

/// Connections that may wait to be accepted. The default of 128 overflows when a few hundred callers connect at
/// once, and each refused one then waits a second before it tries again.
const BACKLOG: u32 = 4096;

/// Listens on a TCP address, with room for a burst of connections.
pub fn listen_tcp(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A node that restarts must get its address back while old connections linger.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

struct TcpAcceptor {
    listener: TcpListener,
    address: SocketAddr,
    prepare: Prepare,
}

impl Acceptor for TcpAcceptor {
    fn accept(&mut self) -> BoxedFuture<'_, io::Result<BoxedStream>> {
        Box::pin(async move {
            let (stream, _) = self.listener.accept().await?;
            (self.prepare)(&stream)?;
            Ok(Box::new(stream) as BoxedStream)
        })
    }

    fn local_address(&self) -> SocketAddr {
        self.address
    }
}

//! In-memory network within one process, for tests with a virtual clock and for simulated nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::io::{DuplexStream, duplex};
use tokio::sync::mpsc;

use crate::network::{Acceptor, BoxedFuture, BoxedStream, Network};

/// Buffer of a stream; writers wait when it is full.
const STREAM_BUFFER_BYTES: usize = 256 * 1024;

#[derive(Debug, Default)]
struct Inner {
    listeners: BTreeMap<SocketAddr, mpsc::UnboundedSender<DuplexStream>>,
    unreachable: BTreeSet<SocketAddr>,
}

/// An in-memory network; clones share its listeners.
#[derive(Debug, Clone, Default)]
pub struct MemoryNetwork {
    inner: Arc<Mutex<Inner>>,
}

impl MemoryNetwork {
    /// Creates a network without listeners.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes new connections to an address fail, or succeed again. Open connections are not affected.
    pub fn set_reachable(&self, address: SocketAddr, is_reachable: bool) {
        let mut inner = self.lock();
        if is_reachable {
            inner.unreachable.remove(&address);
        } else {
            inner.unreachable.insert(address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self, to: SocketAddr) -> io::Result<BoxedStream> {
        let inner = self.lock();
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        if inner.unreachable.contains(&to) {
            return Err(refused());
        }
        let listener = inner.listeners.get(&to).ok_or_else(refused)?;
        let (local, remote) = duplex(STREAM_BUFFER_BYTES);
        listener.send(remote).map_err(|_| refused())?;
        Ok(Box::new(local))
    }
}

impl Network for MemoryNetwork {
    fn connect(&self, to: SocketAddr) -> BoxedFuture<'_, io::Result<BoxedStream>> {
        Box::pin(async move { self.open(to) })
    }

    fn listen(&self, at: SocketAddr) -> BoxedFuture<'_, io::Result<Box<dyn Acceptor>>> {
        Box::pin(async move {
            let (sender, receiver) = mpsc::unbounded_channel();
            self.lock().listeners.insert(at, sender);
            Ok(Box::new(MemoryAcceptor { receiver, address: at }) as Box<dyn Acceptor>)
        })
    }
}

struct MemoryAcceptor {
    receiver: mpsc::UnboundedReceiver<DuplexStream>,
    address: SocketAddr,
}

impl Acceptor for MemoryAcceptor {
    fn accept(&mut self) -> BoxedFuture<'_, io::Result<BoxedStream>> {
        Box::pin(async move {
            let stream = self.receiver.recv().await;
            stream.map(|stream| Box::new(stream) as BoxedStream).ok_or(io::ErrorKind::NotConnected.into())
        })
    }

    fn local_address(&self) -> SocketAddr {
        self.address
    }
}

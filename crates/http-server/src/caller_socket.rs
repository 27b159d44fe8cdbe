//! A caller's socket. Where a caller learns the end of an answer only from the end of its connection, an answer that is cut,
//! also by the end of this process, has to reset the connection.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use http::Version;
use hyper::body::Body;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether the answer on a connection ends with it. Shared by the socket and the service that answers.
#[derive(Debug, Clone, Default)]
pub struct EndsWithConnection(Arc<AtomicBool>);

impl EndsWithConnection {
    /// Records an answer that is about to be sent. HTTP/1.0 has no chunks.
    pub fn record_answer(&self, version: Version, body: &impl Body) {
        if version < Version::HTTP_11 && body.size_hint().exact().is_none() {
            self.0.store(true, Ordering::Relaxed);
        }
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A caller's connection, which is reset unless it is shut down once an answer that ends with it has begun.
#[derive(Debug)]
pub struct CallerSocket {
    stream: TcpStream,
    ends_with_connection: EndsWithConnection,
    resets_on_close: bool,
}

impl CallerSocket {
    /// A caller's accepted connection. `ends_with_connection` is shared with the service that answers on it.
    pub fn new(stream: TcpStream, ends_with_connection: EndsWithConnection) -> Self {
        Self { stream, ends_with_connection, resets_on_close: false }
    }

    /// Makes sure that the connection is reset from the first byte of an answer that ends with it on.
    fn prepare_write(&mut self) -> io::Result<()> {
        if !self.resets_on_close && self.ends_with_connection.get() {
            self.stream.set_zero_linger()?;
            self.resets_on_close = true;
        }
        Ok(())
    }

    /// Makes sure that everything that was written still arrives.
    fn prepare_shutdown(&mut self) -> io::Result<()> {
        if self.resets_on_close {
            SockRef::from(&self.stream).set_linger(None)?;
            self.resets_on_close = false;
        }
        Ok(())
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.prepare_shutdown()?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

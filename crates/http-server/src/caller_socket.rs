//! A caller's socket. Where a caller learns the end of an answer only from the end of its connection, an answer that is cut,
//! also by the end of this process, has to reset the connection.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection_state::ConnectionState;
use crate::discard::Discard;

/// A caller's connection, which is reset unless it is shut down once an answer that ends with it has begun. If the caller may
/// still be sending, a shutdown reads on for a while, so that the answer arrives.
#[derive(Debug)]
pub struct CallerSocket {
    stream: TcpStream,
    state: ConnectionState,
    resets_on_close: bool,
    /// Set once the sending half is closed while the caller may still be sending.
    discard: Option<Discard>,
}

impl CallerSocket {
    /// A caller's accepted connection. `state` is shared with the service that answers on it.
    pub fn new(stream: TcpStream, state: ConnectionState) -> Self {
        Self { stream, state, resets_on_close: false, discard: None }
    }

    /// Makes sure that the connection is reset from the first byte of an answer that ends with it on.
    fn prepare_write(&mut self) -> io::Result<()> {
        if !self.resets_on_close && self.state.ends_with_connection() {
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
        let filled_before = buffer.filled().len();
        let outcome = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.state.record_read();
        }
        outcome
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let outcome = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.state.record_write(outcome.is_pending());
        outcome
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.state.record_write(outcome.is_pending());
        outcome
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = &mut *self;
        if socket.discard.is_none() {
            socket.prepare_shutdown()?;
            ready!(Pin::new(&mut socket.stream).poll_shutdown(context))?;
            if !socket.state.has_unread_body() {
                return Poll::Ready(Ok(()));
            }
        }
        let discard = socket.discard.get_or_insert_default();
        discard.poll(&mut socket.stream, context).map(Ok)
    }
}

//! Discarding what a caller still sends after its answer. A connection that is closed with unread bytes is reset, and a reset
//! can take the answer away from the caller.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Longest time for which a connection is read after its last answer.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Bytes after which a caller that goes on sending is cut off.
const DISCARD_BYTES: usize = 16 << 20;
const BUFFER_BYTES: usize = 4 << 10;
/// Reads after which other connections get their turn.
const READS_PER_TURN: usize = 16;

/// What is left to discard on a connection whose sending half is closed.
#[derive(Debug)]
pub(crate) struct Discard {
    timeout: Pin<Box<Sleep>>,
    bytes_left: usize,
}

impl Default for Discard {
    fn default() -> Self {
        Self { timeout: Box::pin(sleep(DISCARD_TIME)), bytes_left: DISCARD_BYTES }
    }
}

impl Discard {
    /// Resolves once the caller has closed its half, or has had enough time and bytes.
    pub(crate) fn poll(&mut self, stream: &mut TcpStream, context: &mut Context<'_>) -> Poll<()> {
        if self.timeout.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        for _ in 0..READS_PER_TURN {
            let mut bytes = [0; BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            let outcome = ready!(Pin::new(&mut *stream).poll_read(context, &mut buffer));
            let count = buffer.filled().len();
            // An error means that the caller has reset the connection.
            if outcome.is_err() || count == 0 || count >= self.bytes_left {
                return Poll::Ready(());
            }
            self.bytes_left -= count;
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

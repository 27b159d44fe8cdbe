//! An outgoing connection to a node.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sumacdrift_proto::{Frame, FrameBody, OneWay, Request, Response};
use tokio::sync::{mpsc, oneshot};

use crate::codec::{FrameReader, write_frames};
use crate::transport::TransportError;
use crate::{Network, TrafficCounters};

/// Capacity of the send queue. One-way messages are dropped when it is full.
const QUEUE_CAPACITY: usize = 4096;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

type PendingRequests = HashMap<u64, oneshot::Sender<Result<Response, TransportError>>>;

/// An outgoing connection; once it is closed it is not reopened.
#[derive(Debug)]
pub(crate) struct Link {
    frames: mpsc::Sender<Frame>,
    pending: Arc<Mutex<PendingRequests>>,
    is_open: Arc<AtomicBool>,
    next_exchange: AtomicU64,
}

impl Link {
    /// Starts connecting in the background; frames may be queued immediately.
    pub(crate) fn start(
        network: Arc<dyn Network>,
        to: SocketAddr,
        counters: Arc<TrafficCounters>,
    ) -> Arc<Link> {
        let (frames, queue) = mpsc::channel(QUEUE_CAPACITY);
        let link = Arc::new(Link {
            frames,
            pending: Arc::default(),
            is_open: Arc::new(AtomicBool::new(true)),
            next_exchange: AtomicU64::new(1),
        });
        let (pending, is_open) = (Arc::clone(&link.pending), Arc::clone(&link.is_open));
        tokio::spawn(async move {
            let error = run_connection(network, to, queue, &pending, counters).await;
            is_open.store(false, Ordering::Release);
            for (_, responder) in lock(&pending).drain() {
                let _ = responder.send(Err(error.clone()));
            }
        });
        link
    }

    pub(crate) fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Acquire)
    }

    /// Queues a one-way message, or drops it if the queue is full.
    pub(crate) fn send(&self, message: OneWay) {
        let frame = Frame { exchange: 0, body: FrameBody::OneWay(message) };
        let _ = self.frames.try_send(frame);
    }

    /// Sends a request and waits for its response. Dropping the future makes the peer cancel the request.
    pub(crate) async fn request(&self, request: Request) -> Result<Response, TransportError> {
        let exchange = self.next_exchange.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        lock(&self.pending).insert(exchange, sender);
        let guard = CancelOnDrop { link: self, exchange };
        if !self.is_open() {
            return Err(TransportError::Unreachable);
        }
        let frame = Frame { exchange, body: FrameBody::Request(request) };
        if self.frames.send(frame).await.is_err() {
            return Err(TransportError::Unreachable);
        }
        let outcome = receiver.await.unwrap_or(Err(TransportError::ConnectionLost));
        drop(guard);
        outcome
    }
}

/// Removes a request from the pending ones; requests its cancellation from the peer if it was still pending.
struct CancelOnDrop<'a> {
    link: &'a Link,
    exchange: u64,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if lock(&self.link.pending).remove(&self.exchange).is_some() {
            let frame = Frame { exchange: self.exchange, body: FrameBody::Abandon };
            let _ = self.link.frames.try_send(frame);
        }
    }
}

fn lock(pending: &Mutex<PendingRequests>) -> MutexGuard<'_, PendingRequests> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the connection until it closes, and returns the error for requests that are still pending.
async fn run_connection(
    network: Arc<dyn Network>,
    to: SocketAddr,
    mut queue: mpsc::Receiver<Frame>,
    pending: &Mutex<PendingRequests>,
    counters: Arc<TrafficCounters>,
) -> TransportError {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, network.connect(to)).await;
    let Ok(Ok(stream)) = connected else { return TransportError::Unreachable };
    let (read_half, write_half) = tokio::io::split(stream);
    let mut reader = FrameReader::new(read_half);
    let read = async {
        while let Ok(Some(frame)) = reader.next(&counters).await {
            if let FrameBody::Response(response) = frame.body
                && let Some(responder) = lock(pending).remove(&frame.exchange)
            {
                let _ = responder.send(Ok(response));
            }
        }
    };
    tokio::select! {
        () = read => {}
        _ = write_frames(write_half, &mut queue, &counters) => {}
    }
    TransportError::ConnectionLost
}

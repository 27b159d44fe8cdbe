//! One outgoing connection.

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

/// Frames that may wait for a connection; one-way messages beyond that are dropped.
const QUEUE_FRAMES: usize = 4096;
/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

type Waiting = HashMap<u64, oneshot::Sender<Result<Response, TransportError>>>;

/// An outgoing connection, opened on first use.
#[derive(Debug)]
pub(crate) struct Link {
    frames: mpsc::Sender<Frame>,
    waiting: Arc<Mutex<Waiting>>,
    is_open: Arc<AtomicBool>,
    next_exchange: AtomicU64,
}

impl Link {
    /// Begins to connect in the background; frames may be queued at once.
    pub(crate) fn start(
        network: Arc<dyn Network>,
        to: SocketAddr,
        counters: Arc<TrafficCounters>,
    ) -> Arc<Link> {
        let (frames, queue) = mpsc::channel(QUEUE_FRAMES);
        let link = Arc::new(Link {
            frames,
            waiting: Arc::default(),
            is_open: Arc::new(AtomicBool::new(true)),
            next_exchange: AtomicU64::new(1),
        });
        let (waiting, is_open) = (Arc::clone(&link.waiting), Arc::clone(&link.is_open));
        tokio::spawn(async move {
            let error = run(network, to, queue, &waiting, counters).await;
            is_open.store(false, Ordering::Release);
            for (_, waiter) in lock(&waiting).drain() {
                let _ = waiter.send(Err(error.clone()));
            }
        });
        link
    }

    pub(crate) fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Acquire)
    }

    /// Queues a message without answer; drops it where the queue is full, as a network would.
    pub(crate) fn send(&self, message: OneWay) {
        let frame = Frame { exchange: 0, body: FrameBody::OneWay(message) };
        let _ = self.frames.try_send(frame);
    }

    /// Sends a request and waits for its answer. Dropping the future tells the other side.
    pub(crate) async fn request(&self, request: Request) -> Result<Response, TransportError> {
        let exchange = self.next_exchange.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(exchange, sender);
        let guard = AbandonOnDrop { link: self, exchange };
        if !self.is_open() {
            return Err(TransportError::Unreachable);
        }
        let frame = Frame { exchange, body: FrameBody::Request(request) };
        if self.frames.send(frame).await.is_err() {
            return Err(TransportError::Unreachable);
        }
        let outcome = receiver.await.unwrap_or(Err(TransportError::Lost));
        drop(guard);
        outcome
    }
}

/// Takes a request out of the waiting list; tells the other side if it was still waited for.
struct AbandonOnDrop<'a> {
    link: &'a Link,
    exchange: u64,
}

impl Drop for AbandonOnDrop<'_> {
    fn drop(&mut self) {
        if lock(&self.link.waiting).remove(&self.exchange).is_some() {
            let frame = Frame { exchange: self.exchange, body: FrameBody::Abandon };
            let _ = self.link.frames.try_send(frame);
        }
    }
}

fn lock(waiting: &Mutex<Waiting>) -> MutexGuard<'_, Waiting> {
    waiting.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the connection to its end and says how requests under way ended.
async fn run(
    network: Arc<dyn Network>,
    to: SocketAddr,
    mut queue: mpsc::Receiver<Frame>,
    waiting: &Mutex<Waiting>,
    counters: Arc<TrafficCounters>,
) -> TransportError {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, network.connect(to)).await;
    let Ok(Ok(stream)) = connected else { return TransportError::Unreachable };
    let (read_half, write_half) = tokio::io::split(stream);
    let mut reader = FrameReader::new(read_half);
    let read = async {
        while let Ok(Some(frame)) = reader.next(&counters).await {
            if let FrameBody::Response(response) = frame.body
                && let Some(waiter) = lock(waiting).remove(&frame.exchange)
            {
                let _ = waiter.send(Ok(response));
            }
        }
    };
    tokio::select! {
        () = read => {}
        _ = write_frames(write_half, &mut queue, &counters) => {}
    }
    TransportError::Lost
}

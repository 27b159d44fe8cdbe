//! The server side: accepts connections and handles requests of other nodes.

use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use sumacdrift_proto::{Frame, FrameBody, OneWay, Request, Response};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;

use crate::codec::{FrameReader, write_frames};
use crate::{Acceptor, BoxedStream, TrafficCounters};

/// Capacity of a connection's response queue. When a slow reader lets it fill up, handlers wait.
const QUEUE_CAPACITY: usize = 4096;
/// Finished requests are removed from the table when it has grown by this many.
const SWEEP_THRESHOLD: usize = 256;

/// Handles the messages of other nodes.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request. The future is dropped when the requester cancels or its connection closes.
    fn request(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>>;

    /// Handles a one-way message. Must not block.
    fn one_way(&self, message: OneWay);
}

/// Accepts connections until `stop` is cancelled, which also closes the open ones.
pub async fn serve(
    mut acceptor: Box<dyn Acceptor>,
    handler: Arc<dyn Handler>,
    counters: Arc<TrafficCounters>,
    stop: CancellationToken,
) {
    loop {
        let stream = tokio::select! {
            () = stop.cancelled() => return,
            stream = acceptor.accept() => stream,
        };
        match stream {
            Ok(stream) => {
                let connection =
                    serve_connection(stream, Arc::clone(&handler), Arc::clone(&counters), stop.clone());
                tokio::spawn(connection);
            }
            // Running out of file descriptors is temporary; a busy loop would make it worse.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

async fn serve_connection(
    stream: BoxedStream,
    handler: Arc<dyn Handler>,
    counters: Arc<TrafficCounters>,
    stop: CancellationToken,
) {
    let (read_half, write_half) = tokio::io::split(stream);
    let (responses, mut queue) = mpsc::channel(QUEUE_CAPACITY);
    let mut reader = FrameReader::new(read_half);
    let mut exchanges = Exchanges::default();
    let read = async {
        while let Ok(Some(frame)) = reader.next(&counters).await {
            exchanges.handle(frame, &handler, &responses);
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = read => {}
        _ = write_frames(write_half, &mut queue, &counters) => {}
    }
    exchanges.abort_all();
}

/// Requests of one connection that are being handled, by exchange number.
#[derive(Default)]
struct Exchanges {
    running: HashMap<u64, AbortHandle>,
    size_after_sweep: usize,
}

impl Exchanges {
    fn handle(&mut self, frame: Frame, handler: &Arc<dyn Handler>, responses: &mpsc::Sender<Frame>) {
        match frame.body {
            FrameBody::Request(request) => self.start(frame.exchange, request, handler, responses.clone()),
            FrameBody::Abandon => {
                if let Some(task) = self.running.remove(&frame.exchange) {
                    task.abort();
                }
            }
            FrameBody::OneWay(message) => handler.one_way(message),
            FrameBody::Response(_) => {}
        }
    }

    fn start(
        &mut self,
        exchange: u64,
        request: Request,
        handler: &Arc<dyn Handler>,
        responses: mpsc::Sender<Frame>,
    ) {
        let handler = Arc::clone(handler);
        let task = tokio::spawn(async move {
            let response = handler.request(request).await;
            let _ = responses.send(Frame { exchange, body: FrameBody::Response(response) }).await;
        });
        self.running.insert(exchange, task.abort_handle());
        if self.running.len() > self.size_after_sweep + SWEEP_THRESHOLD {
            self.running.retain(|_, task| !task.is_finished());
            self.size_after_sweep = self.running.len();
        }
    }

    fn abort_all(&mut self) {
        for (_, task) in self.running.drain() {
            task.abort();
        }
    }
}

//! A thread that commits records in batches: while one sync runs, the next batch gathers.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;

use bytes::Bytes;

use crate::disk::{Disk, SegmentNumber};
use crate::journal::{Journal, JournalError};

/// Records of one batch at the most.
const MAX_BATCH: usize = 512;

/// Told when a record is durable, or that it can't be made so.
pub type Committed = Box<dyn FnOnce(Result<(), JournalFailure>) + Send>;

/// The outcome of a failed commit in a form that can be handed to many.
pub type JournalFailure = String;

/// The writer's thread has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the journal's writer has stopped")]
pub struct WriterStopped;

enum Order {
    Commit(Bytes, Committed),
    BeginSegment(Box<dyn FnOnce(Option<SegmentNumber>) + Send>),
    RemoveBelow(SegmentNumber),
}

/// Hands records to the thread that owns the journal.
pub struct JournalWriter {
    orders: Option<Sender<Order>>,
    thread: Option<JoinHandle<()>>,
}

impl JournalWriter {
    /// Starts the thread.
    pub fn start<D: Disk + 'static>(journal: Journal<D>) -> Self {
        let (orders, queue) = channel();
        let thread = std::thread::spawn(move || run(journal, &queue));
        Self { orders: Some(orders), thread: Some(thread) }
    }

    /// Queues a record; `committed` is called on the writer's thread.
    pub fn commit(&self, record: Bytes, committed: Committed) -> Result<(), WriterStopped> {
        self.send(Order::Commit(record, committed))
    }

    /// Begins a new segment behind everything queued so far and tells its number.
    pub fn begin_segment(
        &self,
        begun: Box<dyn FnOnce(Option<SegmentNumber>) + Send>,
    ) -> Result<(), WriterStopped> {
        self.send(Order::BeginSegment(begun))
    }

    /// Removes the segments below a number, after everything queued so far.
    pub fn remove_below(&self, number: SegmentNumber) -> Result<(), WriterStopped> {
        self.send(Order::RemoveBelow(number))
    }

    fn send(&self, order: Order) -> Result<(), WriterStopped> {
        let orders = self.orders.as_ref().ok_or(WriterStopped)?;
        orders.send(order).map_err(|_| WriterStopped)
    }
}

impl Drop for JournalWriter {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run<D: Disk>(mut journal: Journal<D>, queue: &Receiver<Order>) {
    while let Ok(first) = queue.recv() {
        let mut batch = Vec::new();
        let mut after = None;
        gather(first, queue, &mut batch, &mut after);
        commit_batch(&mut journal, batch);
        match after {
            Some(Order::BeginSegment(begun)) => begun(journal.begin_segment().ok()),
            Some(Order::RemoveBelow(number)) => {
                let _ = journal.remove_below(number);
            }
            _ => {}
        }
    }
}

/// Takes what is queued up to the first order that is not a commit.
fn gather(
    first: Order,
    queue: &Receiver<Order>,
    batch: &mut Vec<(Bytes, Committed)>,
    after: &mut Option<Order>,
) {
    let mut next = Some(first);
    while let Some(order) = next {
        match order {
            Order::Commit(record, committed) => batch.push((record, committed)),
            other => {
                *after = Some(other);
                return;
            }
        }
        next = if batch.len() < MAX_BATCH { queue.try_recv().ok() } else { None };
    }
}

fn commit_batch<D: Disk>(journal: &mut Journal<D>, batch: Vec<(Bytes, Committed)>) {
    if batch.is_empty() {
        return;
    }
    let outcome = journal.commit(batch.iter().map(|(record, _)| &record[..]));
    let outcome = outcome.map_err(|error: JournalError| error.to_string());
    for (_, committed) in batch {
        committed(outcome.clone());
    }
}

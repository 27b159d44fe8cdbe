//! Commits records in batches on a thread of their own: while one sync runs, the next batch gathers.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use bytes::Bytes;

use crate::disk::{Disk, SegmentNumber};
use crate::journal::{Journal, JournalError};

/// Records of one batch at the most.
const MAX_BATCH: usize = 512;

/// Told when a record is durable, or that it can't be made so.
pub type Committed = Box<dyn FnOnce(Result<(), JournalFailure>) + Send>;

/// The outcome of a failed commit in a form that can be handed to many.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct JournalFailure {
    reason: Arc<str>,
    /// Whether nothing more is committed in this life of the process.
    pub is_final: bool,
}

impl JournalFailure {
    /// The writer has ended.
    pub fn stopped() -> Self {
        Self { reason: Arc::from(WriterStopped.to_string()), is_final: true }
    }
}

impl From<JournalError> for JournalFailure {
    fn from(error: JournalError) -> Self {
        // A full journal has room again behind its next snapshot.
        let is_final = !matches!(error, JournalError::Full(_));
        Self { reason: Arc::from(error.to_string()), is_final }
    }
}

/// The writer's thread has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the journal's writer has stopped")]
pub struct WriterStopped;

enum Order {
    Commit(Bytes, Committed),
    BeginSegment(Box<dyn FnOnce(Option<SegmentNumber>) + Send>),
    RemoveBelow(SegmentNumber),
}

/// Hands records to whoever owns the journal.
pub struct JournalWriter {
    place: Place,
}

/// Where the journal is written.
enum Place {
    /// On a thread of its own, which ends once its queue is gone.
    Thread { orders: Option<Sender<Order>>, thread: Option<JoinHandle<()>> },
    /// By whoever hands something in.
    Here(Mutex<Box<dyn FnMut(Order) + Send>>),
}

impl JournalWriter {
    /// Starts the thread.
    pub fn start<D: Disk + 'static>(journal: Journal<D>) -> Self {
        let (orders, queue) = channel();
        let thread = std::thread::spawn(move || run(journal, &queue));
        Self { place: Place::Thread { orders: Some(orders), thread: Some(thread) } }
    }

    /// Writes in the middle of each call: for disks that take no time, which a virtual clock then doesn't wait for.
    pub fn in_place<D: Disk + 'static>(mut journal: Journal<D>) -> Self {
        let follow = move |order| obey(&mut journal, order);
        Self { place: Place::Here(Mutex::new(Box::new(follow))) }
    }

    /// Queues a record; `committed` is called where the journal is written.
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
        match &self.place {
            Place::Thread { orders, .. } => {
                let orders = orders.as_ref().ok_or(WriterStopped)?;
                orders.send(order).map_err(|_| WriterStopped)
            }
            Place::Here(follow) => {
                let mut follow = follow.lock().unwrap_or_else(PoisonError::into_inner);
                follow(order);
                Ok(())
            }
        }
    }
}

impl Drop for JournalWriter {
    fn drop(&mut self) {
        let Place::Thread { orders, thread } = &mut self.place else { return };
        *orders = None;
        if let Some(thread) = thread.take() {
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
        if let Some(after) = after {
            obey(&mut journal, after);
        }
    }
}

/// Does one thing that was asked for.
fn obey<D: Disk>(journal: &mut Journal<D>, order: Order) {
    match order {
        Order::BeginSegment(begun) => begun(journal.begin_segment().ok()),
        Order::RemoveBelow(number) => {
            let _ = journal.remove_below(number);
        }
        Order::Commit(record, committed) => commit_batch(journal, vec![(record, committed)]),
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
    let outcome = outcome.map_err(JournalFailure::from);
    for (_, committed) in batch {
        committed(outcome.clone());
    }
}

//! Commits records in batches on a dedicated thread: requests that arrive during a sync form the next batch.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use bytes::Bytes;

use crate::disk::{Disk, SegmentNumber};
use crate::journal::{Journal, JournalError};

const MAX_BATCH_RECORDS: usize = 512;

/// Called when a record is durable or its commit has failed.
pub type CommitCallback = Box<dyn FnOnce(Result<(), JournalFailure>) + Send>;

/// A failed commit, as reported to each record of its batch.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct JournalFailure {
    reason: Arc<str>,
    /// Whether all later commits of this writer will fail too.
    pub is_final: bool,
}

impl JournalFailure {
    /// The failure of a commit whose writer has stopped.
    pub fn stopped() -> Self {
        Self { reason: Arc::from(WriterStopped.to_string()), is_final: true }
    }
}

impl From<JournalError> for JournalFailure {
    fn from(error: JournalError) -> Self {
        // A full journal accepts commits again once old segments are removed after a snapshot.
        let is_final = !matches!(error, JournalError::Full(_));
        Self { reason: Arc::from(error.to_string()), is_final }
    }
}

/// The writer's thread has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the journal's writer has stopped")]
pub struct WriterStopped;

enum Request {
    Commit(Bytes, CommitCallback),
    StartSegment(Box<dyn FnOnce(Option<SegmentNumber>) + Send>),
    RemoveBelow(SegmentNumber),
}

/// Handle for committing to a journal that another thread may own.
pub struct JournalWriter {
    backend: Backend,
}

/// How requests are executed.
enum Backend {
    /// On a dedicated thread, which ends when `requests` is dropped.
    Thread { requests: Option<Sender<Request>>, thread: Option<JoinHandle<()>> },
    /// On the calling thread.
    Inline(Mutex<Box<dyn FnMut(Request) + Send>>),
}

impl JournalWriter {
    /// Starts a thread that owns the journal.
    pub fn start<D: Disk + 'static>(journal: Journal<D>) -> Self {
        let (requests, queue) = channel();
        let thread = std::thread::spawn(move || run_writer(journal, &queue));
        Self { backend: Backend::Thread { requests: Some(requests), thread: Some(thread) } }
    }

    /// Executes each request on the calling thread, for in-memory disks under a virtual clock.
    pub fn inline<D: Disk + 'static>(mut journal: Journal<D>) -> Self {
        let handler = move |request| handle_request(&mut journal, request);
        Self { backend: Backend::Inline(Mutex::new(Box::new(handler))) }
    }

    /// Enqueues a record. `on_committed` is called on the thread that writes the journal.
    pub fn commit(&self, record: Bytes, on_committed: CommitCallback) -> Result<(), WriterStopped> {
        self.send(Request::Commit(record, on_committed))
    }

    /// Starts a new segment after all queued requests and passes its number to `on_started`, or `None` on failure.
    pub fn start_segment(
        &self,
        on_started: Box<dyn FnOnce(Option<SegmentNumber>) + Send>,
    ) -> Result<(), WriterStopped> {
        self.send(Request::StartSegment(on_started))
    }

    /// Removes the segments below `number` after all queued requests. Errors are ignored.
    pub fn remove_below(&self, number: SegmentNumber) -> Result<(), WriterStopped> {
        self.send(Request::RemoveBelow(number))
    }

    fn send(&self, request: Request) -> Result<(), WriterStopped> {
        match &self.backend {
            Backend::Thread { requests, .. } => {
                let requests = requests.as_ref().ok_or(WriterStopped)?;
                requests.send(request).map_err(|_| WriterStopped)
            }
            Backend::Inline(handler) => {
                let mut handler = handler.lock().unwrap_or_else(PoisonError::into_inner);
                handler(request);
                Ok(())
            }
        }
    }
}

impl Drop for JournalWriter {
    fn drop(&mut self) {
        let Backend::Thread { requests, thread } = &mut self.backend else { return };
        *requests = None;
        if let Some(thread) = thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_writer<D: Disk>(mut journal: Journal<D>, queue: &Receiver<Request>) {
    while let Ok(first) = queue.recv() {
        let mut batch = Vec::new();
        let mut following = None;
        collect_batch(first, queue, &mut batch, &mut following);
        commit_batch(&mut journal, batch);
        if let Some(following) = following {
            handle_request(&mut journal, following);
        }
    }
}

fn handle_request<D: Disk>(journal: &mut Journal<D>, request: Request) {
    match request {
        Request::StartSegment(on_started) => on_started(journal.start_segment().ok()),
        Request::RemoveBelow(number) => {
            let _ = journal.remove_below(number);
        }
        Request::Commit(record, on_committed) => commit_batch(journal, vec![(record, on_committed)]),
    }
}

/// Adds queued commits to `batch`, up to its limit or the first other request, which is stored in `following`.
fn collect_batch(
    first: Request,
    queue: &Receiver<Request>,
    batch: &mut Vec<(Bytes, CommitCallback)>,
    following: &mut Option<Request>,
) {
    let mut next_request = Some(first);
    while let Some(request) = next_request {
        match request {
            Request::Commit(record, on_committed) => batch.push((record, on_committed)),
            non_commit => {
                *following = Some(non_commit);
                return;
            }
        }
        next_request = if batch.len() < MAX_BATCH_RECORDS { queue.try_recv().ok() } else { None };
    }
}

fn commit_batch<D: Disk>(journal: &mut Journal<D>, batch: Vec<(Bytes, CommitCallback)>) {
    if batch.is_empty() {
        return;
    }
    let outcome = journal.commit(batch.iter().map(|(record, _)| &record[..]));
    let outcome = outcome.map_err(JournalFailure::from);
    for (_, on_committed) in batch {
        on_committed(outcome.clone());
    }
}

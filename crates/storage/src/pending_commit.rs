//! The outcome of a commit of several records, which the journal may write in several batches.

use std::sync::{Arc, Mutex, PoisonError};

use sumacdrift_journal::{CommitCallback, JournalFailure};
use tokio::sync::oneshot;

type Outcome = Result<(), JournalFailure>;

/// Records whose outcome is awaited. The receiver resolves once all have one: with the first failure if any record has failed,
/// since the others do not stand for it. If the writer stops before, the receiver is closed.
pub(crate) struct PendingCommit {
    progress: Mutex<Progress>,
}

struct Progress {
    remaining: usize,
    failure: Option<JournalFailure>,
    sender: Option<oneshot::Sender<Outcome>>,
}

impl PendingCommit {
    /// A commit of this many records.
    pub(crate) fn new(records: usize) -> (Arc<Self>, oneshot::Receiver<Outcome>) {
        let (sender, receiver) = oneshot::channel();
        let progress = Progress { remaining: records, failure: None, sender: Some(sender) };
        (Arc::new(Self { progress: Mutex::new(progress) }), receiver)
    }

    /// Callback for the writer, for one record.
    pub(crate) fn callback(self: &Arc<Self>) -> CommitCallback {
        let pending = Arc::clone(self);
        Box::new(move |outcome| pending.record(outcome))
    }

    fn record(&self, outcome: Outcome) {
        let mut progress = self.progress.lock().unwrap_or_else(PoisonError::into_inner);
        progress.remaining -= 1;
        progress.failure = progress.failure.take().or(outcome.err());
        if progress.remaining > 0 {
            return;
        }
        let outcome = progress.failure.take().map_or(Ok(()), Err);
        if let Some(sender) = progress.sender.take() {
            // The caller may have been cancelled.
            let _ = sender.send(outcome);
        }
    }
}

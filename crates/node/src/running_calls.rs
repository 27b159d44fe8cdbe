//! Registry of the calls in flight on this node.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sumacdrift_types::CallId;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Allows calls in flight to be cancelled and waited for.
#[derive(Debug, Default)]
pub(crate) struct RunningCalls {
    calls: Mutex<HashMap<CallId, CancellationToken>>,
    ended: Notify,
}

impl RunningCalls {
    /// Registers a call and returns its cancellation token.
    pub(crate) fn register(&self, call: CallId) -> CancellationToken {
        let token = CancellationToken::new();
        self.lock().insert(call, token.clone());
        token
    }

    pub(crate) fn deregister(&self, call: CallId) {
        self.lock().remove(&call);
        self.ended.notify_waiters();
    }

    /// Cancels a call; does nothing if it isn't in flight on this node.
    pub(crate) fn cancel(&self, call: CallId) {
        if let Some(token) = self.lock().get(&call) {
            token.cancel();
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.lock().len()
    }

    /// Waits until no call is in flight.
    pub(crate) async fn wait_until_idle(&self) {
        loop {
            let ended = self.ended.notified();
            if self.count() == 0 {
                return;
            }
            ended.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, CancellationToken>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

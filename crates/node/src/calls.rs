//! Calls that run on this node.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sumacdrift_types::CallId;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Calls under way, by which they can be stopped and waited for.
#[derive(Debug, Default)]
pub(crate) struct RunningCalls {
    calls: Mutex<HashMap<CallId, CancellationToken>>,
    ended: Notify,
}

impl RunningCalls {
    /// Notes a call and returns the token that stops it.
    pub(crate) fn begin(&self, call: CallId) -> CancellationToken {
        let token = CancellationToken::new();
        self.lock().insert(call, token.clone());
        token
    }

    /// Notes a call's end.
    pub(crate) fn end(&self, call: CallId) {
        self.lock().remove(&call);
        self.ended.notify_waiters();
    }

    /// Stops a call.
    pub(crate) fn cancel(&self, call: CallId) {
        if let Some(token) = self.lock().get(&call) {
            token.cancel();
        }
    }

    /// Number of calls under way.
    pub(crate) fn count(&self) -> usize {
        self.lock().len()
    }

    /// Waits until no call is under way.
    pub(crate) async fn wait_until_none(&self) {
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

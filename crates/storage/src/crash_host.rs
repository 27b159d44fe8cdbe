//! Records crashes of engines by request beside a replica.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sumacdrift_calls::RequestFingerprint;
use sumacdrift_ledger::{CrashedEngines, EngineCrash, LedgerReply, QuarantineNotice, ReplyKind};
use sumacdrift_quarantine::{CrashHistory, CrashReport};
use sumacdrift_types::Timestamp;
use tokio::time::Instant;

use crate::clock::unix_millis;
use crate::host::ReplicaHost;

/// Crash history of a replica host. It is kept in memory: the chains of crashes are shorter than a process is away.
pub(crate) struct CrashHost {
    history: Mutex<CrashHistory>,
    started: Instant,
}

impl CrashHost {
    /// An empty history of a process that starts now.
    pub(crate) fn new() -> Self {
        Self { history: Mutex::default(), started: Instant::now() }
    }

    fn record(&self, crash: &EngineCrash) -> CrashedEngines {
        let request = RequestFingerprint(crash.request);
        let sent_ago = Duration::from_millis(crash.sent_millis_ago);
        let report = CrashReport { request, engine: &crash.engine, sent_ago };
        let now = self.now();
        let mut history = self.history();
        history.record(report, now);
        CrashedEngines { engines: history.engines(request, now).to_vec() }
    }

    /// Engines that crashed in succession under a request.
    pub(crate) fn engines(&self, request: u64) -> Vec<String> {
        self.history().engines(RequestFingerprint(request), self.now()).to_vec()
    }

    fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }

    fn clear(&self, request: u64) {
        self.history().clear(RequestFingerprint(request));
    }

    fn history(&self) -> MutexGuard<'_, CrashHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ReplicaHost {
    /// Records a crash, and returns all that are known under the request.
    pub(crate) fn record_crash(&self, crash: &EngineCrash) -> LedgerReply {
        host_reply(ReplyKind::CrashedEngines(self.crashes().record(crash)))
    }

    /// Forgets the crashes under a request that was served since.
    pub(crate) fn record_served_after_crash(&self, request: u64) -> LedgerReply {
        self.crashes().clear(request);
        host_reply(ReplyKind::Done(true))
    }

    /// Distributes a request in quarantine to the followers of this node's feed.
    pub(crate) fn quarantine(&self, notice: QuarantineNotice) -> LedgerReply {
        self.feed().quarantine(notice, unix_millis());
        host_reply(ReplyKind::Done(true))
    }
}

fn host_reply(kind: ReplyKind) -> LedgerReply {
    LedgerReply { kind: Some(kind), ..LedgerReply::default() }
}

//! Records crashes of engines by request beside a replica, and keeps them on its disk.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use sumacdrift_calls::RequestFingerprint;
use sumacdrift_journal::JournalFailure;
use sumacdrift_ledger::{
    CrashHistoryCopy, CrashedEngineCopy, CrashedEngines, CrashedRequest, EngineCrash, LedgerReply,
    ObservedEngineCopy, QuarantineNotice, Record, RecordKind, ReplyKind, StoredCopy, SuspectNotice,
};
use sumacdrift_quarantine::{Callers, Certainty, CrashChain, CrashHistory, CrashReport, CrashedEngine};
use sumacdrift_types::Timestamp;
use tokio::time::Instant;

use crate::clock::{to_millis, unix_millis};
use crate::host::ReplicaHost;

/// Crash history of a replica host.
pub(crate) struct CrashHost {
    history: Mutex<CrashHistory>,
    /// Number of changes to the history.
    changes: Mutex<u64>,
    /// The change up to which the copy on disk reaches. Locked while a copy is written.
    durable: tokio::sync::Mutex<u64>,
    started: Instant,
    /// Unix time in milliseconds at which the process started; later steps of the clock have no effect.
    started_unix_millis: u64,
}

impl CrashHost {
    /// The history that an earlier process has kept.
    pub(crate) fn restored(copy: &StoredCopy) -> Self {
        Self {
            history: Mutex::new(CrashHistory::restored(chains_of(copy))),
            changes: Mutex::default(),
            durable: tokio::sync::Mutex::default(),
            started: Instant::now(),
            started_unix_millis: unix_millis(),
        }
    }

    /// The current Unix time, as the copy on disk outlives the process.
    fn now(&self) -> Timestamp {
        let started = Duration::from_millis(self.started_unix_millis);
        Timestamp::default() + started + self.started.elapsed()
    }

    fn record(&self, crash: &EngineCrash, certainty: Certainty) {
        let report = CrashReport {
            request: RequestFingerprint(crash.request),
            callers: if crash.has_one_caller { Callers::One } else { Callers::Many },
            engine: &crash.engine,
            certainty,
            sent_ago: Duration::from_millis(crash.sent_millis_ago),
            lost_ago: Duration::from_millis(crash.lost_millis_ago),
        };
        let now = self.now();
        self.change(|history| history.record(report, now));
    }

    fn withdraw(&self, crash: &EngineCrash) {
        let request = RequestFingerprint(crash.request);
        self.change(|history| match crash.has_not_run {
            true => history.forget(request, &crash.engine),
            false => history.withdraw(request, &crash.engine),
        });
    }

    /// Adds the history that another member has kept.
    fn merge(&self, copy: &StoredCopy) {
        let now = self.now();
        for chain in chains_of(copy) {
            self.change(|history| history.merge(chain, now));
        }
    }

    fn clear(&self, request: u64) {
        self.change(|history| history.clear(RequestFingerprint(request)));
    }

    fn change(&self, change: impl FnOnce(&mut CrashHistory) -> bool) {
        let mut history = self.history();
        if change(&mut history) {
            *self.changes() += 1;
        }
    }

    /// Engines that crashed, or may have, in succession under a request.
    pub(crate) fn engines(&self, request: u64) -> CrashedEngines {
        let history = self.history();
        let (request, now) = (RequestFingerprint(request), self.now());
        let engines = history.engines(request, now);
        let names = |certainty: Certainty| {
            let engines = engines.iter().filter(|engine| engine.certainty == certainty);
            engines.map(|engine| engine.name.clone()).collect()
        };
        let observed = history.observed(request, now);
        CrashedEngines {
            engines: names(Certainty::Confirmed),
            suspected: names(Certainty::Suspected),
            observed: observed.iter().map(|engine| engine.name.clone()).collect(),
        }
    }

    /// The encoded history, and the number of changes in it.
    fn copy(&self) -> (u64, Bytes) {
        let history = self.history();
        let requests = history.chains(self.now()).map(to_message).collect();
        (*self.changes(), Bytes::from(CrashHistoryCopy { requests }.encode_to_vec()))
    }

    fn history(&self) -> MutexGuard<'_, CrashHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locked after the history.
    fn changes(&self) -> MutexGuard<'_, u64> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn chains_of(copy: &StoredCopy) -> impl Iterator<Item = CrashChain> {
    // The journal and pages have checksums; a copy of a later build has the fields of this one.
    let kept = CrashHistoryCopy::decode(copy.content.clone()).unwrap_or_default();
    kept.requests.into_iter().map(to_chain)
}

fn to_chain(kept: CrashedRequest) -> CrashChain {
    let at = |unix_millis| Timestamp::default() + Duration::from_millis(unix_millis);
    let last_crash = at(kept.last_crash_millis);
    let engines = kept.engines.into_iter().map(|engine| CrashedEngine {
        name: engine.name,
        certainty: if engine.is_confirmed { Certainty::Confirmed } else { Certainty::Suspected },
        sent: Timestamp::default(),
        lost: last_crash,
    });
    let observed = kept.observed.into_iter().map(|engine| CrashedEngine {
        name: engine.name,
        certainty: Certainty::Observed,
        sent: Timestamp::default(),
        lost: at(engine.lost_millis),
    });
    CrashChain {
        request: RequestFingerprint(kept.request),
        engines: engines.chain(observed).collect(),
        last_crash,
    }
}

fn to_message(chain: &CrashChain) -> CrashedRequest {
    let (observed, crashed): (Vec<_>, Vec<_>) =
        chain.engines.iter().partition(|engine| engine.certainty == Certainty::Observed);
    let crashed = crashed.into_iter().map(|engine| CrashedEngineCopy {
        name: engine.name.clone(),
        is_confirmed: engine.certainty == Certainty::Confirmed,
    });
    let observed = observed.into_iter().map(|engine| ObservedEngineCopy {
        name: engine.name.clone(),
        lost_millis: unix_millis_of(engine.lost),
    });
    CrashedRequest {
        request: chain.request.0,
        last_crash_millis: unix_millis_of(chain.last_crash),
        engines: crashed.collect(),
        observed: observed.collect(),
    }
}

fn unix_millis_of(at: Timestamp) -> u64 {
    to_millis(at.since(Timestamp::default()))
}

impl ReplicaHost {
    /// Records a crash, and returns all that are known under the request.
    pub(crate) async fn record_crash(&self, crash: &EngineCrash, certainty: Certainty) -> LedgerReply {
        self.crashes().record(crash, certainty);
        self.crashed_engines(crash.request).await
    }

    /// Forgets a suspicion, and returns the crashes that are left under the request.
    pub(crate) async fn withdraw_suspicion(&self, crash: &EngineCrash) -> LedgerReply {
        self.crashes().withdraw(crash);
        self.crashed_engines(crash.request).await
    }

    /// Forgets the crashes under a request that was served since.
    pub(crate) async fn record_served_after_crash(&self, request: u64) -> LedgerReply {
        self.crashes().clear(request);
        self.reply_once_durable(ReplyKind::Done(true)).await
    }

    /// Distributes a request in quarantine to the followers of this node's feed; acknowledged once it is on disk.
    pub(crate) async fn quarantine(&self, notice: QuarantineNotice) -> LedgerReply {
        self.feed().quarantine(notice, unix_millis());
        self.reply_once_feed_is_durable().await
    }

    /// Distributes a request for which one more crash reaches the limit, likewise.
    pub(crate) async fn announce_suspect(&self, notice: &SuspectNotice) -> LedgerReply {
        self.feed().announce_suspect(notice, unix_millis());
        self.reply_once_feed_is_durable().await
    }

    async fn reply_once_feed_is_durable(&self) -> LedgerReply {
        host_reply(match self.store_feed().await {
            Ok(()) => ReplyKind::Done(true),
            Err(failure) => ReplyKind::Failed(failure.to_string()),
        })
    }

    async fn crashed_engines(&self, request: u64) -> LedgerReply {
        self.reply_once_durable(ReplyKind::CrashedEngines(self.crashes().engines(request))).await
    }

    async fn reply_once_durable(&self, kind: ReplyKind) -> LedgerReply {
        host_reply(match self.store_crash_history().await {
            Ok(()) => kind,
            Err(failure) => ReplyKind::Failed(failure.to_string()),
        })
    }

    /// Makes the crash history durable; one copy covers all changes that came while the one before was written.
    /// Adds the crashes among the records that another member has sent, so that this one knows them before it votes.
    pub(crate) async fn merge_crash_history(&self, records: &[Record]) -> Result<(), JournalFailure> {
        for record in records {
            if let Some(RecordKind::CrashHistory(copy)) = &record.kind {
                self.crashes().merge(copy);
            }
        }
        self.store_crash_history().await
    }

    async fn store_crash_history(&self) -> Result<(), JournalFailure> {
        let needed = *self.crashes().changes();
        let mut durable = self.crashes().durable.lock().await;
        if *durable >= needed {
            return Ok(());
        }
        let (changes, content) = self.crashes().copy();
        let record = {
            let mut replica = self.replica();
            let number = replica.state().crash_history().number + 1;
            replica.store_crash_history(StoredCopy { number, content })
        };
        self.commit(record.into_iter().collect()).await?;
        *durable = changes;
        Ok(())
    }
}

fn host_reply(kind: ReplyKind) -> LedgerReply {
    LedgerReply { kind: Some(kind), ..LedgerReply::default() }
}

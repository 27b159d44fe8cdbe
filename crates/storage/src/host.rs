//! Host of one replica: its journal, its admission control and the requests of other nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use slog::{Logger, error, info, warn};
use sumacdrift_dissemination::Snapshot;
use sumacdrift_fleet_view::BoardReport;
use sumacdrift_journal::{
    DirectoryDisk, Disk, Journal, JournalError, JournalFailure, JournalSettings, JournalWriter,
};
use sumacdrift_ledger::{
    GroupMap, GroupMessage, GroupNumber, HostAdmission, LedgerReply, LedgerRequest, Member, Record, Replica,
    ReplicaSettings, ReplyKind, RequestClass, RequestKind, SilentMember, StatusReply, StoredCopy,
};
use sumacdrift_proto::{OneWay, Request, Response};
use sumacdrift_quarantine::Certainty;
use sumacdrift_transport::Handler;
use sumacdrift_types::{Problem, ResultCode, Timestamp};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::clock::{to_millis, unix_millis};
use crate::crash_host::CrashHost;
use crate::directory::DirectoryView;
use crate::feed_host::FeedHost;
use crate::host_metrics::HostMetrics;
use crate::known_map::KnownMap;
use crate::pending_commit::PendingCommit;
use crate::planned_stop::PlannedStop;
use crate::quota_host::QuotaHost;
use crate::report_board::HostReportBoard;
use crate::snapshot_progress::{SnapshotProgress, max_content_bytes};

/// Commits that take longer are logged: callers wait for them, and a sync should take milliseconds.
const SLOW_COMMIT_THRESHOLD: Duration = Duration::from_millis(300);
/// Time without a merged feed in contact with the store after which a member of the second group follows the
/// store itself. Longer than it takes to give up a feed, and well within the seconds in which a configuration
/// must be in force.
const STORE_TAKEOVER_DELAY: Duration = Duration::from_millis(1800);
/// How long a request for membership stays valid; waiting machines repeat it four times a second.
const MEMBERSHIP_REQUEST_TTL: Duration = Duration::from_secs(1);
/// Value of the `group` metric where the node belongs to no group.
const NO_GROUP: i64 = -1;
/// Pause between two durable copies of the feed.
const COPY_PAUSE: Duration = Duration::from_millis(500);

/// Settings of the replica on this node.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct HostSettings {
    pub replica: ReplicaSettings,
    /// Directory of the journal.
    pub folder: PathBuf,
    /// Capacity of the journal in bytes.
    pub capacity_bytes: u64,
    /// Maximum bytes of records in memory that wait for the disk.
    pub waiting_bytes: usize,
    /// Maximum bytes of the content of retained turns, which is in memory.
    pub content_bytes: u64,
}

/// Error while opening a replica.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)]
pub enum OpenError {
    #[error("the folder of the journal can't be used: {0}")]
    Folder(#[from] std::io::Error),
    #[error("the journal can't be read: {0}")]
    Journal(#[from] JournalError),
    /// The first records of this process could not be made durable.
    #[error("the first records could not be written: {0}")]
    FirstRecords(JournalFailure),
}

/// A replica with its journal, which serves other nodes.
pub struct ReplicaHost {
    replica: Mutex<Replica>,
    writer: JournalWriter,
    snapshot_progress: SnapshotProgress,
    metrics: HostMetrics,
    feed: Arc<FeedHost>,
    board: HostReportBoard,
    quotas: QuotaHost,
    crashes: CrashHost,
    map: KnownMap,
    admission: Mutex<HostAdmission>,
    /// Time of the last request of a machine that waits for membership of a group.
    membership_requested_at: Mutex<Option<Instant>>,
    offers_membership: AtomicBool,
    planned_stop: PlannedStop,
    /// Since when each unresponsive member has not replied to this node; `None` until the first check.
    unresponsive_since: Mutex<Option<BTreeMap<String, Instant>>>,
    /// Members that announced a planned stop, until the watcher processes them.
    planned_stops: Mutex<BTreeSet<String>>,
    journal_failed: CancellationToken,
    started: Instant,
    logger: Logger,
}

/// Accounts for a batch in the write queue until its commit ends or its caller is cancelled.
struct QueuedBatch<'a> {
    host: &'a ReplicaHost,
}

impl Drop for QueuedBatch<'_> {
    fn drop(&mut self) {
        self.host.admission().record_written(self.host.now());
    }
}

impl ReplicaHost {
    /// Opens the journal in the configured directory and replays it; a dedicated thread writes to it.
    pub async fn open(settings: HostSettings, logger: Logger) -> Result<Arc<Self>, OpenError> {
        let disk = DirectoryDisk::open(settings.folder.clone())?;
        Self::open_on(disk, JournalWriter::start, settings, logger).await
    }

    /// Replays the journal on `disk`; `start_writer` starts its writer.
    pub async fn open_on<D: Disk>(
        disk: D,
        start_writer: impl FnOnce(Journal<D>) -> JournalWriter,
        settings: HostSettings,
        logger: Logger,
    ) -> Result<Arc<Self>, OpenError> {
        let mut replica = Replica::new(settings.replica);
        replica.limit_content(settings.content_bytes.min(max_content_bytes(settings.capacity_bytes)));
        let limits = JournalSettings { capacity_bytes: settings.capacity_bytes };
        let mut records = 0_u64;
        let mut unreadable = 0_u64;
        let (journal, torn_bytes) = Journal::open(disk, limits, |bytes| match Record::decode(bytes) {
            Ok(record) => {
                records += 1;
                replica.replay(&record);
            }
            Err(_) => unreadable += 1,
        })?;
        let snapshot_progress = SnapshotProgress::new(settings.capacity_bytes, journal.total_bytes());
        let first = replica.finish_replay();
        let quotas = QuotaHost::new(replica.node());
        replica.expire(unix_millis());
        info!(logger, "journal replayed"; "event" => "journal_replayed", "records" => records,
            "unreadable" => unreadable, "torn_bytes" => torn_bytes, "programs" => replica.state().program_count(),
            "voting" => replica.is_voting(), "epoch" => replica.group().epoch);
        let snapshot = Snapshot::decode(replica.state().copy().content.clone()).unwrap_or_default();
        let crashes = CrashHost::restored(replica.state().crash_history());
        let host = Arc::new(Self {
            feed: Arc::new(FeedHost::new(snapshot, logger.clone())),
            replica: Mutex::new(replica),
            writer: start_writer(journal),
            snapshot_progress,
            metrics: HostMetrics::default(),
            board: HostReportBoard::new(),
            quotas,
            crashes,
            map: KnownMap::default(),
            admission: Mutex::new(HostAdmission::new(settings.waiting_bytes)),
            membership_requested_at: Mutex::default(),
            offers_membership: AtomicBool::new(false),
            planned_stop: PlannedStop::default(),
            unresponsive_since: Mutex::default(),
            planned_stops: Mutex::default(),
            journal_failed: CancellationToken::new(),
            started: Instant::now(),
            logger,
        });
        host.load_directory_from_feed();
        host.commit(first).await.map_err(OpenError::FirstRecords)?;
        Ok(host)
    }

    pub(crate) fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns when the journal has failed permanently: the process must exit and restart from what is on disk.
    /// Otherwise it would still count as a voting member, but acknowledge no request.
    pub async fn journal_failed(&self) {
        self.journal_failed.cancelled().await;
    }

    /// Name of this node.
    pub fn node_name(&self) -> String {
        self.replica().node().to_owned()
    }

    /// Whether the replica votes.
    pub fn is_voting(&self) -> bool {
        self.replica().is_voting()
    }

    /// The newest groups known to this node.
    pub fn map(&self) -> Arc<GroupMap> {
        self.map.get()
    }

    /// Adopts the content of the directory and publishes it in the feed.
    pub(crate) fn publish_directory(&self, view: &DirectoryView) {
        if let Some(stored) = &view.map {
            self.map.merge(&stored.map);
        }
        self.feed.publish_directory(view);
    }

    /// Directory content according to the feed, from other nodes or an earlier process; adopts its groups.
    pub(crate) fn load_directory_from_feed(&self) -> DirectoryView {
        let view = self.feed.directory_view();
        if let Some(stored) = &view.map {
            self.map.merge(&stored.map);
        }
        view
    }

    /// Whether this node reads the directory itself: it is one of the nodes that follow the store, or knows
    /// none.
    pub fn follows_directory(&self) -> bool {
        self.follows_store() || self.store_followers().is_empty()
    }

    /// Nodes that follow the outside store: the members of the first group. They are few, spread over zones,
    /// and replaced when lost.
    pub fn store_followers(&self) -> Vec<Member> {
        self.map().group(0).map(|group| group.members.clone()).unwrap_or_default()
    }

    /// Whether this node follows the store: as a member of the first group, or as a member of the second
    /// one that has merged no feed in contact with the store for `STORE_TAKEOVER_DELAY`.
    pub fn follows_store(&self) -> bool {
        let node = self.replica().node().to_owned();
        let map = self.map();
        match map.group_of_member(&node).map(|group| group.number) {
            Some(0) => true,
            Some(1) => self.feed.time_without_current_peer() >= STORE_TAKEOVER_DELAY,
            _ => false,
        }
    }

    /// The feed that other nodes follow.
    pub fn feed(&self) -> &Arc<FeedHost> {
        &self.feed
    }

    /// Keeps a durable copy of the feed, for nodes that start while the store is down. Runs until the process
    /// ends.
    pub async fn keep_feed(self: Arc<Self>) {
        let mut feed_changes = self.feed.subscribe();
        while feed_changes.changed().await.is_ok() {
            if let Err(failure) = self.store_feed().await {
                error!(self.logger, "feed copy not durable"; "event" => "commit_failed", "error" => %failure);
            }
            tokio::time::sleep(COPY_PAUSE).await;
        }
    }

    /// Makes the current content of the feed durable.
    pub(crate) async fn store_feed(&self) -> Result<(), JournalFailure> {
        let (revision, snapshot) = self.feed.snapshot();
        let content = Bytes::from(snapshot.encode_to_vec());
        let record = {
            let mut replica = self.replica();
            // Requests in quarantine change the content, but not the store's revision.
            let number = revision.max(replica.state().copy().number + 1);
            replica.store_copy(StoredCopy { number, content })
        };
        self.commit(record.into_iter().collect()).await
    }

    /// Metrics of the replica.
    pub fn metrics(&self) -> &HostMetrics {
        &self.metrics
    }

    pub(crate) fn update_gauges(&self) {
        let replica = self.replica();
        let number = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.is_voting.set(i64::from(replica.is_voting()));
        self.metrics.sources_left.set(number(replica.remaining_sources()));
        self.metrics.programs.set(number(replica.state().program_count()));
        self.metrics.kept_turns.set(number(replica.state().retained_count()));
        let content_bytes = replica.state().content_bytes();
        self.metrics.content_bytes.set(i64::try_from(content_bytes).unwrap_or(i64::MAX));
        self.metrics.epoch.set(i64::try_from(replica.group().epoch).unwrap_or(i64::MAX));
        let group = replica.is_member().then(|| i64::from(replica.group().number));
        self.metrics.group.set(group.unwrap_or(NO_GROUP));
        self.metrics.waiting_bytes.set(number(self.admission().queued_bytes()));
    }

    pub(crate) fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Whether a machine that waits for membership asked recently.
    pub(crate) fn is_membership_requested(&self) -> bool {
        let requested_at = *self.membership_requested_at.lock().unwrap_or_else(PoisonError::into_inner);
        requested_at.is_some_and(|requested_at| requested_at.elapsed() < MEMBERSHIP_REQUEST_TTL)
    }

    /// Offers this node's membership of its group in all later status replies.
    pub(crate) fn offer_membership(&self) {
        self.offers_membership.store(true, Ordering::Relaxed);
    }

    /// Whether this node, as a member of its group, has handed over its records and does not vote.
    pub(crate) fn has_handed_over(&self) -> bool {
        let replica = self.replica();
        replica.group().handed_over.contains(replica.node())
    }

    /// Planned stop of this process.
    pub(crate) fn planned_stop(&self) -> &PlannedStop {
        &self.planned_stop
    }

    /// Records the planned stop of a member of this group.
    fn record_planned_stop(&self, node: &str) {
        if self.replica().group().member(node).is_none() {
            return;
        }
        info!(self.logger, "member announced a planned stop"; "event" => "member_stops", "member" => node);
        self.planned_stops.lock().unwrap_or_else(PoisonError::into_inner).insert(node.to_owned());
    }

    /// Members that announced a stop since the last call.
    pub(crate) fn take_planned_stops(&self) -> BTreeSet<String> {
        std::mem::take(&mut *self.planned_stops.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets since when members have been unresponsive, for status replies.
    pub(crate) fn set_unresponsive_since(&self, unresponsive_since: BTreeMap<String, Instant>) {
        *self.unresponsive_since.lock().unwrap_or_else(PoisonError::into_inner) = Some(unresponsive_since);
    }

    /// Adds what this node sees of other members to a status reply.
    fn fill_status(&self, status: &mut StatusReply) {
        status.offers_membership = self.offers_membership.load(Ordering::Relaxed);
        let unresponsive_since = self.unresponsive_since.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(unresponsive_since) = unresponsive_since.as_ref() else { return };
        status.is_watching = true;
        status.silent = unresponsive_since
            .iter()
            .map(|(node, since)| {
                let millis = to_millis(since.elapsed());
                SilentMember { node: node.clone(), millis }
            })
            .collect();
    }

    /// Makes records durable.
    pub(crate) async fn commit(&self, records: Vec<Record>) -> Result<(), JournalFailure> {
        let bytes = records.iter().map(Record::encoded_len).sum();
        let Some(done) = self.queue(records) else { return Ok(()) };
        let started = Instant::now();
        self.admission().record_enqueued(bytes, self.now());
        let queued_batch = QueuedBatch { host: self };
        let outcome = done.await.unwrap_or_else(|_| Err(JournalFailure::stopped()));
        if outcome.as_ref().is_err_and(|failure| failure.is_final) {
            self.journal_failed.cancel();
        }
        drop(queued_batch);
        let elapsed = started.elapsed();
        self.metrics.commits.inc();
        self.metrics.commit_seconds.observe(elapsed.as_secs_f64());
        if elapsed >= SLOW_COMMIT_THRESHOLD {
            warn!(self.logger, "slow commit"; "event" => "slow_commit",
                "taken_ms" => elapsed.as_millis() as u64);
        }
        outcome
    }

    /// Whether a request is admitted. A rejected one is answered with `Busy`, and the client asks other
    /// members.
    fn admits(&self, request: &LedgerRequest) -> bool {
        let class = match request.kind {
            Some(RequestKind::Begin(_)) => RequestClass::BeginTurn,
            _ => RequestClass::Other,
        };
        let is_recorded = matches!(request.kind, Some(RequestKind::Begin(_) | RequestKind::End(_)));
        !is_recorded || self.admission().admits(class, request.encoded_len(), self.now())
    }

    fn admission(&self) -> MutexGuard<'_, HostAdmission> {
        self.admission.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }

    /// Queues records; the receiver resolves when all are durable. `None` if there are no records.
    fn queue(&self, records: Vec<Record>) -> Option<oneshot::Receiver<Result<(), JournalFailure>>> {
        if records.is_empty() {
            return None;
        }
        let (pending, receiver) = PendingCommit::new(records.len());
        for record in records {
            let bytes = Bytes::from(record.encode_to_vec());
            self.snapshot_progress.record_queued(bytes.len());
            // A stopped writer drops the callback, which the receiver reports.
            let _ = self.writer.commit(bytes, pending.callback());
        }
        Some(receiver)
    }

    /// Expires old records, and writes a snapshot to a new segment if the journal has grown enough.
    pub async fn expire_and_snapshot(&self) {
        self.replica().expire(unix_millis());
        if self.snapshot_progress.is_due() {
            self.snapshot().await;
        }
    }

    async fn snapshot(&self) {
        let (sender, receiver) = oneshot::channel();
        let on_started = Box::new(move |number| {
            let _ = sender.send(number);
        });
        if self.writer.start_segment(on_started).is_err() {
            return;
        }
        let Ok(Some(number)) = receiver.await else { return };
        self.snapshot_progress.begin();
        if let Err(failure) = self.write_snapshot().await {
            error!(self.logger, "snapshot failed"; "event" => "snapshot_failed", "error" => %failure);
            return;
        }
        let written = self.snapshot_progress.finish();
        let _ = self.writer.remove_below(number);
        info!(self.logger, "snapshot written"; "event" => "snapshot", "bytes" => written, "segment" => number);
    }

    /// Makes the records of a snapshot durable, a page at a time: all of them encoded at once would need as much memory as the
    /// content itself. What changes meanwhile is in the same segment.
    async fn write_snapshot(&self) -> Result<(), JournalFailure> {
        let head = self.replica().snapshot_head();
        self.commit(head).await?;
        let mut after = String::new();
        loop {
            let page = self.replica().snapshot_page(&after, unix_millis());
            self.commit(page.records).await?;
            if page.next.is_empty() {
                return Ok(());
            }
            after = page.next;
        }
    }

    /// Report of this node's board for other boards.
    pub(crate) fn board_report(&self, node: &str) -> Option<BoardReport> {
        self.board.for_boards(node)
    }

    async fn answer(&self, bytes: Bytes) -> LedgerReply {
        let Ok(mut request) = LedgerRequest::decode(bytes) else {
            let kind = ReplyKind::Failed("unreadable request".to_owned());
            return LedgerReply { kind: Some(kind), ..LedgerReply::default() };
        };
        self.metrics.requests.inc();
        let report = std::mem::take(&mut request.report);
        if matches!(request.kind, Some(RequestKind::Map(_))) {
            let kind = Some(ReplyKind::Map(self.map().to_message()));
            return LedgerReply { kind, ..LedgerReply::default() };
        }
        match &request.kind {
            Some(RequestKind::Quota(question)) => return self.answer_quota(question),
            Some(RequestKind::QuotaTotals(totals)) => {
                self.quotas.apply_totals(totals.clone());
                return LedgerReply { kind: Some(ReplyKind::Done(true)), ..LedgerReply::default() };
            }
            Some(RequestKind::EngineCrash(crash)) => {
                return self.record_crash(crash, Certainty::Confirmed).await;
            }
            Some(RequestKind::SuspectedCrash(crash)) => {
                return self.record_crash(crash, Certainty::Suspected).await;
            }
            Some(RequestKind::EngineSurvived(crash)) => return self.withdraw_suspicion(crash).await,
            Some(RequestKind::ServedAfterCrash(request)) => {
                return self.record_served_after_crash(*request).await;
            }
            Some(RequestKind::Quarantine(notice)) => return self.quarantine(notice.clone()).await,
            Some(RequestKind::Suspect(notice)) => return self.announce_suspect(notice).await,
            Some(RequestKind::Stopping(node)) => {
                self.record_planned_stop(node);
                return LedgerReply { kind: Some(ReplyKind::Done(true)), ..LedgerReply::default() };
            }
            _ => {}
        }
        if !self.admits(&request) {
            self.metrics.busy.inc();
            return self.reply_with_news(Some(ReplyKind::Busy(true)), report);
        }
        if matches!(request.kind, Some(RequestKind::Status(false))) {
            *self.membership_requested_at.lock().unwrap_or_else(PoisonError::into_inner) =
                Some(Instant::now());
        }
        let (group, epoch) = (request.group, request.epoch);
        let begun_request = match &request.kind {
            Some(RequestKind::Begin(begin)) => begin.request,
            _ => None,
        };
        let mut step = self.replica().handle(request, unix_millis());
        if matches!(&step.reply.kind, Some(ReplyKind::Vote(vote)) if vote.lacks_memory) {
            self.metrics.turns_without_memory.inc();
        }
        if let (Some(begun_request), Some(ReplyKind::Vote(vote))) = (begun_request, &mut step.reply.kind) {
            let known = self.crashes.engines(begun_request);
            vote.crashed_engines = known.engines;
            vote.suspected_engines = known.suspected;
            vote.observed_engines = known.observed;
        }
        if let Some(newer) = self.newer_version(group, epoch, &step.reply) {
            step.reply.kind = Some(ReplyKind::WrongEpoch(newer));
        }
        if let Some(ReplyKind::Status(status)) = &mut step.reply.kind {
            self.fill_status(status);
        }
        let kind = match self.commit(step.commit).await {
            Ok(()) => step.reply.kind,
            Err(failure) => {
                error!(self.logger, "record not durable"; "event" => "commit_failed", "error" => %failure);
                Some(ReplyKind::Failed(failure.to_string()))
            }
        };
        // Exchanged as late as possible, so that the view is fresh when the reply is sent.
        self.reply_with_news(kind, report)
    }

    /// A reply with the view that a report asks for, and the requests that were put in quarantine recently.
    fn reply_with_news(&self, kind: Option<ReplyKind>, report: Bytes) -> LedgerReply {
        let quarantined = self.feed.recent_quarantine().announced();
        LedgerReply { kind, view: self.board.exchange(report), quarantined }
    }
}

impl ReplicaHost {
    /// Counters of tenants' calls.
    pub(crate) fn quotas(&self) -> &QuotaHost {
        &self.quotas
    }

    /// Crashes of engines by request.
    pub(crate) fn crashes(&self) -> &CrashHost {
        &self.crashes
    }

    /// The newer version of a group to return to a requester, if this replica is not a member of that group.
    fn newer_version(&self, group: GroupNumber, epoch: u64, reply: &LedgerReply) -> Option<GroupMessage> {
        let is_not_voting = matches!(reply.kind, Some(ReplyKind::NotVoting(_)));
        if !is_not_voting || self.replica().group().number == group {
            return None;
        }
        let map = self.map();
        let known = map.group(group).filter(|known| known.epoch > epoch)?;
        Some(known.to_message())
    }
}

impl Handler for ReplicaHost {
    fn request(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        Box::pin(async move {
            match request {
                Request::Ledger(bytes) => {
                    Response::Ledger(Bytes::from(self.answer(bytes).await.encode_to_vec()))
                }
                Request::Follow(bytes) => Response::Changes(self.feed.answer(bytes).await),
                _ => {
                    Response::Failed(Problem::not_run(ResultCode::NotFound, "only a ledger replica is here"))
                }
            }
        })
    }

    fn one_way(&self, _message: OneWay) {}
}

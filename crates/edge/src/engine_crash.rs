//! What an edge knows of crashes by request: the requests in quarantine, and reports to the storage nodes.
//!
//! An engine that loses a call is examined before the call goes on or ends, since its caller may retry at any edge. The
//! storage nodes know how many engines crashed, or may have, under the same request; at the limit the request is put in
//! quarantine.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::info;
use sumacdrift_calls::{CrashCount, EngineId, MAX_CRASHES, RequestFingerprint};
use sumacdrift_quarantine::{
    CRASH_RETENTION, Callers, Certainty, CrashHistory, CrashReport, LostAttempts, Quarantine,
    QuarantinedRequest, RecentlyServed, SuspectRequest, SuspectRequests,
};
use sumacdrift_storage::{CrashClient, KnownCrashes, LedgerClient};
use sumacdrift_types::{Mechanism, Timestamp};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::crash_view_age::CrashViewAge;
use crate::edge::Edge;
use crate::engine_examination::Examination;
use crate::engine_observation::Observations;
use crate::engine_watch::EngineWatches;
use crate::wire_format::WireFormat;

/// Suspected engines that are examined at the same time. Beyond that, only engines that refuse connections are reported.
const MAX_EXAMINATIONS: usize = 256;
/// Path of a health check in a service that has none.
const DEFAULT_HEALTH_PATH: &str = "/";

/// Timeouts of the steps after an engine has lost a call.
#[derive(Debug, Clone, Copy)]
pub struct CrashTimeouts {
    /// Opening a connection to learn whether an engine still accepts any. Exceeds a round trip between regions.
    pub probe: Duration,
    /// How long an engine must keep a new connection open to count as alive: a server may end some time after the worker
    /// that broke the connection or sent the error.
    pub settle: Duration,
    /// Reporting a crash to a majority of the storage nodes. An unresponsive one takes less time to go around.
    pub report: Duration,
    /// Distributing a request in quarantine through the feeds. They take milliseconds, and a caller that retries at once
    /// would otherwise reach an edge that doesn't know of it.
    pub distribution: Duration,
    /// How long a call whose deadline has passed waits for these steps. Its caller has given up or will soon.
    pub after_deadline: Duration,
}

impl Default for CrashTimeouts {
    fn default() -> Self {
        Self {
            probe: Duration::from_millis(100),
            settle: Duration::from_millis(250),
            report: Duration::from_millis(300),
            distribution: Duration::from_millis(250),
            after_deadline: Duration::from_millis(100),
        }
    }
}

/// What an edge knows of requests and crashes.
pub(crate) struct RequestCrashes {
    client: CrashClient,
    quarantine: Mutex<Quarantine>,
    suspects: Mutex<SuspectRequests>,
    lost_attempts: Mutex<LostAttempts>,
    /// Changes with the quarantine and the suspects.
    quarantine_changed: watch::Sender<()>,
    served: Mutex<RecentlyServed>,
    /// Crashes that this edge has seen. They count while no majority of the storage nodes replies.
    seen: Mutex<CrashHistory>,
    /// Permits for examinations of suspected engines.
    pub(crate) examinations: Arc<Semaphore>,
    pub(crate) observations: Observations,
    pub(crate) watches: EngineWatches,
    pub(crate) view_age: CrashViewAge,
    /// Examinations that have not reported what they found.
    pub(crate) reports: TaskTracker,
}

impl RequestCrashes {
    pub(crate) fn new(ledger: Arc<LedgerClient>, timeouts: CrashTimeouts) -> Self {
        Self {
            client: CrashClient::new(ledger, timeouts.report),
            quarantine: Mutex::default(),
            suspects: Mutex::default(),
            lost_attempts: Mutex::default(),
            quarantine_changed: watch::Sender::new(()),
            served: Mutex::default(),
            seen: Mutex::default(),
            examinations: Arc::new(Semaphore::new(MAX_EXAMINATIONS)),
            observations: Observations::default(),
            watches: EngineWatches::default(),
            view_age: CrashViewAge::default(),
            reports: TaskTracker::new(),
        }
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn suspects(&self) -> MutexGuard<'_, SuspectRequests> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lost_attempts(&self) -> MutexGuard<'_, LostAttempts> {
        self.lost_attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn served(&self) -> MutexGuard<'_, RecentlyServed> {
        self.served.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn seen(&self) -> MutexGuard<'_, CrashHistory> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what this edge has seen of a crash; returns how many there are under the request.
    fn record_seen(&self, report: CrashReport<'_>, now: Timestamp) -> CrashCount {
        let mut seen = self.seen();
        match report.certainty {
            Certainty::Observed => {
                seen.withdraw(report.request, report.engine);
            }
            Certainty::Suspected | Certainty::Confirmed => {
                seen.record(report, now);
            }
        }
        seen.count(report.request, now)
    }

    /// Records that an engine served a request that other callers may send too.
    pub(crate) fn record_served(&self, request: RequestFingerprint, now: Timestamp) {
        self.served().record(request, now);
    }

    /// Whether an engine served an equal request recently.
    pub(crate) fn was_served(&self, request: RequestFingerprint, now: Timestamp) -> bool {
        self.served().contains(request, now)
    }
}

/// How a call ended at an engine that may have run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// Its connection broke, or its answer was a server error or none at all.
    Broken,
    /// No complete answer came until the deadline, or until the caller left.
    Silent,
    /// With a complete answer that is no success.
    Answered,
    /// With a complete success.
    Served,
}

/// A call as it was sent to an engine, and how that ended.
#[derive(Debug, Clone)]
pub(crate) struct SentCall {
    pub(crate) id: String,
    pub(crate) request: RequestFingerprint,
    pub(crate) callers: Callers,
    /// See [`CrashClient`].
    pub(crate) key: String,
    pub(crate) engine: EngineId,
    /// Name of the engine that differs between its incarnations.
    pub(crate) incarnation: String,
    pub(crate) address: SocketAddr,
    /// When the call was sent to the engine.
    pub(crate) sent: Timestamp,
    /// When the engine answered it, or was found to have lost it.
    pub(crate) ended: Timestamp,
    pub(crate) ending: Ending,
    pub(crate) is_stream: bool,
    /// Whether the ledger has admitted the call as a turn, whose open attempt counts if this process is lost.
    pub(crate) is_admitted: bool,
    /// Path for health checks in the configuration of the engine's service.
    pub(crate) health_path: Option<Arc<str>>,
    /// Crashes under the request that the call knows of, this one not included.
    pub(crate) known: CrashCount,
}

/// What is known of a request that is about to be sent to an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashesElsewhere {
    /// Crashes at other engines.
    pub(crate) count: CrashCount,
    /// Whether the engine lost the request before.
    pub(crate) is_known_here: bool,
}

/// Path for a health check of an engine whose service has this one configured, if any.
pub(crate) fn health_check_path(configured: Option<&str>) -> &str {
    configured.unwrap_or(DEFAULT_HEALTH_PATH)
}

impl SentCall {
    /// Path for a health check of the engine.
    pub(crate) fn health_check_path(&self) -> &str {
        health_check_path(self.health_path.as_deref())
    }
}

impl<D: WireFormat> Edge<D> {
    /// Whether an end of a call's engine counts under its request: not if an equal request of another caller was served.
    pub(crate) fn counts_crashes(&self, call: &SentCall) -> bool {
        call.callers == Callers::One || !self.crashes.was_served(call.request, self.clock.now())
    }

    /// Examines the engine of a lost call, also if nothing waits for the result.
    pub(crate) fn begin_examination(self: &Arc<Self>, call: SentCall) -> JoinHandle<Examination> {
        self.crashes.reports.spawn(Arc::clone(self).examine(call))
    }

    /// Waits until all examinations that have begun have reported what they found, or until the given time. No report may be
    /// lost when the process ends, since a caller that left retries elsewhere.
    pub(crate) async fn finish_crash_reports(&self, until: Instant) {
        self.crashes.reports.close();
        if tokio::time::timeout_at(until, self.crashes.reports.wait()).await.is_err() {
            info!(self.logger, "the process ends before all crashes are reported"; "event" => "crash_reports_cut",
                "unreported" => self.crashes.reports.len());
        }
    }

    /// Reports what became of the engine of a lost call; returns all crashes that are known under the request.
    pub(crate) async fn report_crash(self: &Arc<Self>, call: &SentCall, certainty: Certainty) -> CrashCount {
        let started = self.clock.now();
        let known = self.crashes.client.report(self.crash_report(call, certainty), &call.key).await;
        let (event, message) = match certainty {
            Certainty::Confirmed => ("engine_crashed", "engine crashed under a request"),
            Certainty::Suspected => ("engine_suspected", "engine may have crashed under a request"),
            Certainty::Observed => ("suspicion_withdrawn", "suspected engine is alive and under observation"),
        };
        self.log_crash(call, event, message, &known, started);
        self.observe_engines_of_others(call, &known);
        let seen = self.crashes.record_seen(self.crash_report(call, certainty), self.clock.now());
        let reported = self.count_crashes(call, &known);
        if reported.is_close_to_limit() && certainty != Certainty::Observed && !call.is_admitted {
            self.announce_suspect(SuspectRequest::new(call.request)).await;
        }
        if known.is_complete {
            return reported;
        }
        // The call may know of crashes that other edges have seen.
        let before = call.known;
        let own = match certainty {
            Certainty::Confirmed => CrashCount { confirmed: before.confirmed + 1, ..before },
            Certainty::Suspected => CrashCount { suspected: before.suspected + 1, ..before },
            Certainty::Observed => CrashCount { suspected: before.suspected.saturating_sub(1), ..before },
        };
        CrashCount {
            confirmed: reported.confirmed.max(own.confirmed).max(seen.confirmed),
            suspected: reported.suspected.max(own.suspected).max(seen.suspected),
            observed: reported.observed.max(own.observed).max(seen.observed),
            open_attempts: own.open_attempts,
        }
    }

    /// The crashes that are known under a request before it is sent to an engine, without those at this engine, and whether
    /// there is one.
    pub(crate) async fn crashes_elsewhere(&self, call: &SentCall) -> CrashesElsewhere {
        let mut known = self.crashes.client.known(call.request, &call.key).await;
        if !known.is_complete {
            self.crashes.view_age.record_failure(self.clock.now());
        }
        let is_known_here = known.remove(&call.incarnation);
        CrashesElsewhere { count: self.count_crashes(call, &known), is_known_here }
    }

    /// Reports an engine as suspected before it gets a request, since this process may be lost with the call.
    pub(crate) async fn report_before_sending(&self, call: &SentCall) {
        let report = self.crash_report(call, Certainty::Suspected);
        self.crashes.client.report(report, &call.key).await;
    }

    /// Withdraws such a report, as the engine did not get the request or answered it.
    pub(crate) async fn report_not_run(&self, call: &SentCall) {
        let report = self.crash_report(call, Certainty::Suspected);
        self.crashes.client.report_not_run(report, &call.key).await;
    }

    /// The crashes that are known under the request of a lost call.
    pub(crate) async fn crashes_under(&self, call: &SentCall) -> CrashCount {
        let known = self.crashes.client.known(call.request, &call.key).await;
        self.count_crashes(call, &known)
    }

    /// Number of crashes under a call's request. The ledger knows the open attempts of a turn; those of other requests may have
    /// been lost together with their edge.
    fn count_crashes(&self, call: &SentCall, known: &KnownCrashes) -> CrashCount {
        let count = known.count();
        if call.is_admitted {
            count.with_open_attempts(call.known.open_attempts)
        } else if self.may_have_lost_attempt(call.request) {
            count.with_lost_attempt()
        } else {
            count
        }
    }

    /// Records that attempts may have been lost together with an edge. `remaining` is the time for which that counts.
    pub fn record_lost_edge(&self, remaining: Duration) {
        let now = self.clock.now();
        let Some(lost_at) = self.crashes.lost_attempts().record(remaining, now) else { return };
        info!(self.logger, "attempts may have been lost together with an edge"; "event" => "edge_lost",
            "lost_ms_ago" => now.since(lost_at).as_millis() as u64);
    }

    /// Records that this process may take the place of an edge that was lost, together with all that could tell of it.
    pub fn assume_lost_edge(&self) {
        self.record_lost_edge(CRASH_RETENTION);
    }

    /// Whether attempts may have been lost together with another edge.
    pub fn may_have_lost_attempts(&self) -> bool {
        self.crashes.lost_attempts().may_precede(self.clock.now())
    }

    /// Whether an attempt of a request may have been lost together with an edge before the first crash under it was announced.
    fn may_have_lost_attempt(&self, request: RequestFingerprint) -> bool {
        let now = self.clock.now();
        let announced = self.crashes.suspects().known_since(request, now).unwrap_or(now);
        self.crashes.lost_attempts().may_precede(announced)
    }

    /// Reports that an engine served a request under which others had crashed.
    pub(crate) async fn report_served_after_crash(&self, request: RequestFingerprint, key: &str) {
        self.crashes.seen().clear(request);
        self.crashes.client.report_served(request, key).await;
    }

    fn crash_report<'a>(&self, call: &'a SentCall, certainty: Certainty) -> CrashReport<'a> {
        let now = self.clock.now();
        CrashReport {
            request: call.request,
            callers: call.callers,
            engine: &call.incarnation,
            certainty,
            sent_ago: now.since(call.sent),
            lost_ago: now.since(call.ended),
        }
    }

    fn log_crash(
        &self,
        call: &SentCall,
        event: &'static str,
        message: &'static str,
        known: &KnownCrashes,
        started: Timestamp,
    ) {
        let now = self.clock.now();
        let names = known.confirmed.iter().chain(&known.suspected).map(String::as_str);
        info!(self.logger, "{}", message; "event" => event, "call" => &call.id, "request" => %call.request,
            "engine" => %call.engine, "loss" => ?call.ending, "counted" => true,
            "crashes" => known.confirmed.len(), "suspected" => known.suspected.len(), "observed" => known.observed.len(),
            "engines" => names.collect::<Vec<_>>().join(" "), "majority" => known.is_complete,
            "sent_ms" => now.since(call.sent).as_millis() as u64,
            "took_ms" => now.since(started).as_millis() as u64);
    }

    /// Puts a request in quarantine if as many engines as allowed crashed under it, or may have.
    pub(crate) async fn enforce_crash_limit(&self, request: RequestFingerprint, known: CrashCount) {
        if known.confirmed >= MAX_CRASHES {
            self.begin_quarantine(QuarantinedRequest::confirmed(request)).await;
        } else if known.has_reached_limit() {
            self.begin_quarantine(QuarantinedRequest::suspected(request)).await;
        }
    }

    /// Distributes a request in quarantine to all edges; returns once this edge has learned of it, or after a timeout.
    async fn begin_quarantine(&self, quarantined: QuarantinedRequest) {
        let request = quarantined.request;
        let publishing = self.crashes.client.quarantine(quarantined);
        let is_known =
            || self.find_quarantined(request).is_some_and(|known| known.certainty == quarantined.certainty);
        if !self.distribute(publishing, is_known).await {
            info!(self.logger, "request in quarantine may be unknown to other edges";
                "event" => "quarantine_not_distributed", "request" => %request);
        }
        self.quarantine(quarantined, "own crash");
    }

    /// Announces a request that is close to the crash limit to all edges, which report it before they send it;
    /// returns once this edge has learned of it, or after a timeout.
    async fn announce_suspect(&self, suspect: SuspectRequest) {
        let request = suspect.request;
        if self.is_suspect(request) {
            return;
        }
        let publishing = self.crashes.client.announce_suspect(suspect);
        if !self.distribute(publishing, || self.is_suspect(request)).await {
            info!(self.logger, "request close to the crash limit may be unknown to other edges";
                "event" => "suspect_not_distributed", "request" => %request);
        }
        self.add_suspect(suspect);
    }

    /// Publishes something to the feeds and waits until this edge's own feed has brought it; returns whether it has in time.
    async fn distribute(&self, publishing: impl Future<Output = bool>, is_known: impl Fn() -> bool) -> bool {
        let mut changed = self.crashes.quarantine_changed.subscribe();
        let distributing = async {
            let is_published = publishing.await;
            while is_published && !is_known() {
                if changed.changed().await.is_err() {
                    break;
                }
            }
            is_published
        };
        let within = self.settings.crash_timeouts.distribution;
        tokio::time::timeout(within, distributing).await.unwrap_or(false)
    }

    /// Records that a feed has brought all that it knows.
    pub fn confirm_crash_view(&self) {
        self.crashes.view_age.confirm(self.clock.now());
    }

    /// Whether crashes may have been reported that this edge has not learned of; `false` if the mechanism is disabled.
    pub(crate) fn is_crash_view_old(&self) -> bool {
        let is_enabled = self.settings.disabled.is_enabled(Mechanism::Quarantine);
        is_enabled && self.crashes.view_age.must_ask(self.clock.now())
    }

    /// Adds a request that is close to the crash limit.
    pub fn add_suspect(&self, suspect: SuspectRequest) {
        if self.crashes.suspects().add(suspect, self.clock.now()) {
            info!(self.logger, "request is close to the crash limit"; "event" => "request_suspected",
                "request" => %suspect.request, "remaining_ms" => suspect.remaining.as_millis() as u64);
            self.crashes.quarantine_changed.send_replace(());
        }
    }

    /// Whether a request is close to the crash limit.
    pub(crate) fn is_suspect(&self, request: RequestFingerprint) -> bool {
        self.crashes.suspects().contains(request, self.clock.now())
    }

    /// Whether there may be such requests; `false` if the mechanism is disabled.
    pub(crate) fn may_have_suspects(&self) -> bool {
        let is_enabled = self.settings.disabled.is_enabled(Mechanism::Quarantine);
        is_enabled && !self.crashes.suspects().is_empty()
    }

    /// Puts a request in quarantine.
    pub fn quarantine(&self, quarantined: QuarantinedRequest, source: &'static str) {
        let (is_new, requests) = {
            let mut quarantine = self.crashes.quarantine();
            (quarantine.add(quarantined, self.clock.now()), quarantine.len())
        };
        if is_new {
            self.metrics.quarantined.set(i64::try_from(requests).unwrap_or(i64::MAX));
            info!(self.logger, "request put in quarantine"; "event" => "request_quarantined",
                "request" => %quarantined.request, "source" => source, "certainty" => ?quarantined.certainty,
                "remaining_ms" => quarantined.remaining.as_millis() as u64);
            self.crashes.quarantine_changed.send_replace(());
        }
    }

    /// The state of a request; `None` if it is not in quarantine.
    pub(crate) fn find_quarantined(&self, request: RequestFingerprint) -> Option<QuarantinedRequest> {
        self.crashes.quarantine().find(request, self.clock.now())
    }

    /// Whether any request may be in quarantine; `false` if the mechanism is disabled.
    pub(crate) fn may_have_quarantined(&self) -> bool {
        let is_enabled = self.settings.disabled.is_enabled(Mechanism::Quarantine);
        is_enabled && !self.crashes.quarantine().is_empty()
    }

    /// Number of requests in quarantine.
    pub fn quarantined_requests(&self) -> usize {
        self.crashes.quarantine().len()
    }

    /// Number of requests that are close to the crash limit.
    pub fn suspect_requests(&self) -> usize {
        self.crashes.suspects().len()
    }

    /// Drops requests whose quarantine is over, and attempts that their engines have outlived.
    pub(crate) fn expire_quarantine(self: &Arc<Self>) {
        self.expire_observations();
        self.crashes.suspects().expire(self.clock.now());
        let mut quarantine = self.crashes.quarantine();
        quarantine.expire(self.clock.now());
        self.metrics.quarantined.set(i64::try_from(quarantine.len()).unwrap_or(i64::MAX));
    }
}

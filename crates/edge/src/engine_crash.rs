//! Crashes of engines while they run a call.
//!
//! After a connection to an engine breaks, the edge finds out whether the engine still accepts connections. If it does not,
//! the crash is reported to the storage nodes before the call goes on or ends, since its caller may retry at any
//! edge. They know how many engines crashed under the same request; at the limit the request is put in quarantine.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::info;
use sumacdrift_calls::{CallMachine, Failure, MAX_CRASHES, Next, RequestFingerprint};
use sumacdrift_quarantine::{CrashReport, QUARANTINE_TIME, Quarantine, QuarantinedRequest, RecentlyServed};
use sumacdrift_routing::Placement;
use sumacdrift_storage::{CrashClient, LedgerClient};
use sumacdrift_types::{Mechanism, Timestamp};
use tokio::sync::watch;

use crate::attempt::CallContext;
use crate::edge::Edge;
use crate::wire_format::WireFormat;

/// Body size up to which equal requests of several callers are expected; larger bodies tell requests apart.
const MAX_SHARED_BODY_BYTES: usize = 4 << 10;

/// Timeouts of the steps between a crash and the answer to the call. The caller waits meanwhile.
#[derive(Debug, Clone, Copy)]
pub struct CrashTimeouts {
    /// Opening a connection to learn whether an engine still accepts any. Exceeds a round trip between regions.
    pub probe: Duration,
    /// Reporting a crash to a majority of the storage nodes. An unresponsive one takes less time to go around.
    pub report: Duration,
    /// Distributing a request in quarantine through the feeds. They take milliseconds, and a caller that retries at once
    /// would otherwise reach an edge that doesn't know of it.
    pub distribution: Duration,
}

impl Default for CrashTimeouts {
    fn default() -> Self {
        Self {
            probe: Duration::from_millis(100),
            report: Duration::from_millis(300),
            distribution: Duration::from_millis(250),
        }
    }
}

/// What an edge knows of requests and crashes.
pub(crate) struct RequestCrashes {
    client: CrashClient,
    quarantine: Mutex<Quarantine>,
    quarantine_changed: watch::Sender<()>,
    served: Mutex<RecentlyServed>,
}

impl RequestCrashes {
    pub(crate) fn new(ledger: Arc<LedgerClient>, timeouts: CrashTimeouts) -> Self {
        Self {
            client: CrashClient::new(ledger, timeouts.report),
            quarantine: Mutex::default(),
            quarantine_changed: watch::Sender::new(()),
            served: Mutex::default(),
        }
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn served(&self) -> MutexGuard<'_, RecentlyServed> {
        self.served.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call that an engine lost.
struct LostCall {
    id: String,
    request: RequestFingerprint,
    /// See [`CallContext::crash_key`].
    key: String,
    placement: Placement,
    /// When the call was sent to the engine.
    sent: Timestamp,
    /// Engines that crashed under this call before.
    own_crashes: usize,
    /// Whether other callers may send equal requests.
    is_shared: bool,
}

impl<D: WireFormat> CallContext<D> {
    /// Records a failed attempt and returns the next step. If the connection broke, first finds out whether the engine
    /// crashed, and reports that. `sent` is when the attempt was sent.
    pub(crate) async fn record_failure(
        &self,
        machine: &mut CallMachine,
        placement: &Placement,
        sent: Timestamp,
        failure: Failure,
    ) -> Next {
        let engine = &placement.engine;
        let may_have_crashed = match failure {
            Failure::Lost => true,
            // The engine lost the call before and is gone now.
            Failure::NotSent => machine.may_have_run_at(engine),
            _ => false,
        };
        let mut failure = failure;
        if may_have_crashed
            && self.edge.clock.now() < machine.deadline()
            && let Some(crashes) = self.crashes_after_loss(machine, placement, sent).await
        {
            failure = Failure::Crashed;
            machine.record_known_crashes(crashes);
        }
        machine.record_failure(engine, failure, self.edge.clock.now())
    }

    /// Number of crashes in succession under the request, if the engine crashed. Carried on if the caller leaves meanwhile, as
    /// it may retry elsewhere.
    async fn crashes_after_loss(
        &self,
        machine: &CallMachine,
        placement: &Placement,
        sent: Timestamp,
    ) -> Option<usize> {
        let call = LostCall {
            id: self.head.id.clone(),
            request: self.fingerprint(),
            key: self.crash_key(),
            placement: placement.clone(),
            sent,
            own_crashes: machine.own_crashes(),
            is_shared: self.may_be_shared(),
        };
        let edge = Arc::clone(&self.edge);
        let handling = tokio::spawn(async move { edge.handle_lost_call(call).await });
        let deadline = self.edge.clock.instant(machine.deadline());
        // Late or aborted handling leaves the failure a lost connection.
        tokio::time::timeout_at(deadline, handling).await.ok()?.ok()?
    }

    /// Whether other callers may send equal requests.
    fn may_be_shared(&self) -> bool {
        self.head.program.is_none() && self.forwarded.body.len() <= MAX_SHARED_BODY_BYTES
    }

    /// Records crashes under the request that the ledger knows of, and puts the request in quarantine at the limit.
    pub(crate) fn record_known_crashes(&self, machine: &mut CallMachine, crashes: usize) {
        if !self.edge.settings.disabled.is_enabled(Mechanism::Quarantine) {
            return;
        }
        machine.record_known_crashes(crashes);
        if machine.has_reached_crash_limit() {
            let request = self.fingerprint();
            self.edge.quarantine(QuarantinedRequest { request, remaining: QUARANTINE_TIME }, "ledger");
        }
    }

    /// Determines the ledger group that records the crashes under the call's request, see [`CrashClient`].
    fn crash_key(&self) -> String {
        match &self.head.program {
            Some(program) => self.caller.name_in_ledger(&program.program),
            None => self.fingerprint().to_string(),
        }
    }

    /// Records that an engine served the call.
    pub(crate) fn record_served(&self, machine: &CallMachine) {
        if self.may_be_shared() && !self.selected.route.rules.kind.is_stream() {
            self.edge.crashes.served().record(self.fingerprint(), self.edge.clock.now());
        }
        if machine.crashes() > 0 {
            let (edge, request, key) = (Arc::clone(&self.edge), self.fingerprint(), self.crash_key());
            tokio::spawn(async move { edge.crashes.client.report_served(request, &key).await });
        }
    }

    /// Time until the call's request leaves the quarantine; `None` if it is not in it.
    pub(crate) fn quarantine_remaining(&self) -> Option<Duration> {
        let is_enabled = self.edge.settings.disabled.is_enabled(Mechanism::Quarantine);
        if !is_enabled || self.edge.crashes.quarantine().is_empty() {
            return None;
        }
        let request = self.fingerprint();
        self.edge.crashes.quarantine().remaining(request, self.edge.clock.now())
    }
}

impl<D: WireFormat> Edge<D> {
    /// Puts a request in quarantine.
    pub fn quarantine(&self, quarantined: QuarantinedRequest, source: &'static str) {
        let (is_new, requests) = {
            let mut quarantine = self.crashes.quarantine();
            (quarantine.add(quarantined, self.clock.now()), quarantine.len())
        };
        if is_new {
            self.metrics.quarantined.set(i64::try_from(requests).unwrap_or(i64::MAX));
            info!(self.logger, "request put in quarantine"; "event" => "request_quarantined",
                "request" => %quarantined.request, "source" => source,
                "remaining_ms" => quarantined.remaining.as_millis() as u64);
            self.crashes.quarantine_changed.send_replace(());
        }
    }

    /// Number of requests in quarantine.
    pub fn quarantined_requests(&self) -> usize {
        self.crashes.quarantine().len()
    }

    /// Drops requests whose quarantine is over.
    pub(crate) fn expire_quarantine(&self) {
        let mut quarantine = self.crashes.quarantine();
        quarantine.expire(self.clock.now());
        self.metrics.quarantined.set(i64::try_from(quarantine.len()).unwrap_or(i64::MAX));
    }

    /// Number of crashes in succession under the request of a lost call; `None` if its engine did not crash.
    async fn handle_lost_call(self: Arc<Self>, call: LostCall) -> Option<usize> {
        let (placement, within) = (&call.placement, self.settings.crash_timeouts.probe);
        if !self.pool.has_crashed(&placement.engine, placement.address, within).await {
            return None;
        }
        self.metrics.engine_crashes.inc();
        let own_crashes = call.own_crashes + 1;
        if !self.settings.disabled.is_enabled(Mechanism::Quarantine) {
            return Some(own_crashes);
        }
        if call.is_shared && self.crashes.served().contains(call.request, self.clock.now()) {
            info!(self.logger, "engine crashed under a request that was served recently"; "event" => "engine_crashed",
                "call" => &call.id, "request" => %call.request, "engine" => %call.placement.engine, "counted" => false);
            return Some(own_crashes);
        }
        let crashes = own_crashes.max(self.report_crash(&call).await);
        if crashes >= MAX_CRASHES {
            self.begin_quarantine(call.request).await;
        }
        Some(crashes)
    }

    /// Reports a crash to the storage nodes; returns the number of crashes in succession that they know of.
    async fn report_crash(&self, call: &LostCall) -> usize {
        let now = self.clock.now();
        let report = CrashReport {
            request: call.request,
            engine: &call.placement.engine.incarnation_text(),
            sent_ago: now.since(call.sent),
        };
        let known = self.crashes.client.report(report, &call.key).await;
        info!(self.logger, "engine crashed under a request"; "event" => "engine_crashed", "call" => &call.id,
            "request" => %call.request, "engine" => %call.placement.engine, "counted" => true,
            "own_crashes" => call.own_crashes + 1, "crashes" => known.engines.len(),
            "engines" => known.engines.join(" "), "majority" => known.is_complete,
            "sent_ms" => report.sent_ago.as_millis() as u64,
            "took_ms" => self.clock.now().since(now).as_millis() as u64);
        known.engines.len()
    }

    /// Distributes a request in quarantine to all edges; returns once this edge has learned of it, or after a timeout.
    async fn begin_quarantine(&self, request: RequestFingerprint) {
        let quarantined = QuarantinedRequest { request, remaining: QUARANTINE_TIME };
        let mut changed = self.crashes.quarantine_changed.subscribe();
        let distributing = async {
            let is_published = self.crashes.client.quarantine(quarantined).await;
            while self.crashes.quarantine().remaining(request, self.clock.now()).is_none() {
                if changed.changed().await.is_err() {
                    break;
                }
            }
            is_published
        };
        let is_distributed =
            tokio::time::timeout(self.settings.crash_timeouts.distribution, distributing).await;
        if !matches!(is_distributed, Ok(true)) {
            info!(self.logger, "request in quarantine may be unknown to other edges";
                "event" => "quarantine_not_distributed", "request" => %request,
                "published" => is_distributed.unwrap_or(false));
        }
        self.quarantine(quarantined, "own crash");
    }
}

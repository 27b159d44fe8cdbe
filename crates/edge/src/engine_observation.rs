//! Attributes the end of an engine to the requests that it had last.
//!
//! Each attempt that may have run is remembered for a while after it has ended, however it did: an engine may end some time
//! after it lost a request, or answered it. When an engine ends, each request that it had counts a crash, unless the engine
//! served on for as long as it has to after it had announced its end. Nothing is forgotten for an announcement. Engines
//! that lost a request are watched; the end of others shows by their connections. Each edge observes the engines of its own
//! attempts, and those at which other edges lost the same requests, since these edges may be gone by then.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use slog::info;
use sumacdrift_calls::{CrashCount, EngineId, MAX_CRASHES, RequestFingerprint};
use sumacdrift_quarantine::{Callers, EngineEnd, OBSERVATION_TIME};
use sumacdrift_routing::EnginePresence;
use sumacdrift_storage::KnownCrashes;
use sumacdrift_types::Timestamp;
use tokio::sync::mpsc;

use crate::edge::{ENGINE_RETENTION, Edge};
use crate::engine_crash::{Ending, SentCall};
use crate::engine_pool::Probe;
use crate::recent_attempts::RecentAttempts;
use crate::wire_format::WireFormat;

/// Interval at which the quarantine of a request is renewed while its engines are observed. Shorter than it lasts.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Requests of one engine that are reported at the same time.
const MAX_REPORTS: usize = 16;

/// Attempts whose engines are observed.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    attempts: Mutex<RecentAttempts>,
    /// Requests that are held back until it is known what becomes of their engines.
    held: Mutex<HashSet<RequestFingerprint>>,
}

impl Observations {
    fn attempts(&self) -> MutexGuard<'_, RecentAttempts> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn held(&self) -> MutexGuard<'_, HashSet<RequestFingerprint>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<D: WireFormat> Edge<D> {
    /// Number of engines under observation, each counted once for every request that it lost.
    pub fn observed_engines(&self) -> usize {
        self.crashes.observations.attempts().lost()
    }

    /// Number of answered calls whose engines have not outlived them yet.
    pub fn recent_answers(&self) -> usize {
        self.crashes.observations.attempts().answered()
    }

    /// Whether an engine has lost a request that is remembered.
    pub(crate) fn is_observed(&self, engine: &EngineId) -> bool {
        self.crashes.observations.attempts().has_lost_at(engine)
    }

    /// Remembers an attempt without a complete answer, and watches its engine.
    pub(crate) fn observe_lost(self: &Arc<Self>, call: &SentCall) {
        let evicted = self.crashes.observations.attempts().add_lost(call.clone());
        self.report_evicted(evicted);
        self.watch_engine(call);
    }

    /// Forgets an attempt without a complete answer, whose engine's end is reported otherwise.
    pub(crate) fn forget_lost(&self, call: &SentCall) {
        self.crashes.observations.attempts().remove_lost(call);
    }

    /// Remembers an attempt with a complete answer.
    pub(crate) fn observe_answered(&self, call: SentCall) {
        let evicted = self.crashes.observations.attempts().add_answered(call);
        self.report_evicted(evicted);
    }

    fn report_evicted(&self, evicted: Option<SentCall>) {
        let Some(call) = evicted else { return };
        self.metrics.engines_not_examined.inc();
        info!(self.logger, "too many attempts are remembered, the oldest one is dropped";
            "event" => "engine_not_observed", "call" => &call.id, "request" => %call.request,
            "engine" => %call.engine, "ending" => ?call.ending,
            "age_ms" => self.clock.now().since(call.ended).as_millis() as u64);
    }

    /// Observes the other engines that lost the same request, whichever edge sent it there.
    pub(crate) fn observe_engines_of_others(self: &Arc<Self>, call: &SentCall, known: &KnownCrashes) {
        for incarnation in known.observed.iter().chain(&known.suspected) {
            let Some((engine, address)) = self.engines().find_incarnation(incarnation) else { continue };
            let (incarnation, ended) = (incarnation.clone(), self.clock.now());
            let other = SentCall { engine, incarnation, address, ended, ..call.clone() };
            // One that is missing by now may have left as planned before it ended.
            if other.engine != call.engine && self.presence(&other) != EnginePresence::Missing {
                self.observe_lost(&other);
            }
        }
    }

    /// Drops the attempts that their engines have outlived. The answers among them clear what earlier crashes have shown.
    pub(crate) fn expire_observations(self: &Arc<Self>) {
        let outlived = self.crashes.observations.attempts().expire(self.clock.now());
        for call in outlived.into_iter().filter(|call| call.ending == Ending::Served) {
            if call.callers == Callers::Many && !call.is_stream {
                self.crashes.record_served(call.request, call.ended);
            }
            if !call.known.is_empty() {
                tokio::spawn(Arc::clone(self).clear_crashes(call));
            }
        }
    }

    /// Clears the crashes under a request that an engine has served and outlived.
    async fn clear_crashes(self: Arc<Self>, call: SentCall) {
        match self.probe(&call).await {
            Probe::Refused => self.record_late_crash(call).await,
            Probe::Accepted(connection) => {
                connection.release();
                self.report_served_after_crash(call.request, &call.key).await;
            }
            Probe::Silent => {}
        }
    }

    /// Counts the end of an engine under each request that it had last, apart from the calls, unless it was planned. `ended`
    /// is the latest time at which it may have ended.
    pub(crate) fn attribute_end(self: &Arc<Self>, engine: &EngineId, ended: Timestamp) {
        let calls = self.crashes.observations.attempts().take(engine, self.clock.now());
        if calls.is_empty() {
            return;
        }
        if self.is_planned(engine, ended, calls.len()) {
            return self.log_planned_end(engine, &calls);
        }
        let counted: Vec<SentCall> = calls.into_iter().filter(|call| self.counts_crashes(call)).collect();
        let edge = Arc::clone(self);
        self.crashes.reports.spawn(async move {
            let reports = futures::stream::iter(counted);
            reports.for_each_concurrent(MAX_REPORTS, |call| edge.record_late_crash(call)).await;
        });
    }

    async fn record_late_crash(self: &Arc<Self>, call: SentCall) {
        self.metrics.engine_crashes.inc();
        let known = self.confirm_crash(&call).await.known;
        self.hold_request(call, known);
    }

    /// When an engine that has ended announced its end; `None` if it did not.
    fn announced_end(&self, engine: &EngineId, ended: Timestamp) -> Option<Timestamp> {
        let engines = self.engines();
        // The registry has forgotten an engine that it doesn't know, as it left the directory that long ago.
        let is_known = engines.spec(engine).is_some();
        if is_known { engines.leaving_since(engine) } else { Some(ended - ENGINE_RETENTION) }
    }

    /// Whether an engine that had these many requests last ended as planned.
    fn is_planned(&self, engine: &EngineId, ended: Timestamp, requests: usize) -> bool {
        let announced = self.announced_end(engine, ended);
        let drain_time = self.settings.engine_drain_time;
        let is_planned = EngineEnd { announced, ended }.is_planned(drain_time);
        info!(self.logger, "engine ended that had lost or answered requests"; "event" => "engine_ended",
            "engine" => %engine, "planned" => is_planned, "requests" => requests,
            "announced_ms" => announced.map(|announced| ended.since(announced).as_millis() as u64),
            "drain_ms" => drain_time.as_millis() as u64,
            "found_ms" => self.clock.now().since(ended).as_millis() as u64);
        is_planned
    }

    fn log_planned_end(&self, engine: &EngineId, calls: &[SentCall]) {
        let now = self.clock.now();
        for call in calls {
            info!(self.logger, "observed engine ended as planned"; "event" => "observation_ended",
                "engine" => %engine, "call" => &call.id, "request" => %call.request, "ending" => ?call.ending,
                "ended_ms" => now.since(call.ended).as_millis() as u64);
        }
    }

    /// Holds a request back for as long as its engines may have crashed, apart from the call. `known` are the crashes under it.
    pub(crate) fn hold_request(self: &Arc<Self>, call: SentCall, known: CrashCount) {
        let is_unresolved = known.has_reached_limit() && known.confirmed < MAX_CRASHES;
        if !is_unresolved || !self.crashes.observations.held().insert(call.request) {
            return;
        }
        let edge = Arc::clone(self);
        tokio::spawn(async move {
            edge.renew_quarantine(&call, known).await;
            edge.crashes.observations.held().remove(&call.request);
        });
    }

    async fn renew_quarantine(&self, call: &SentCall, mut known: CrashCount) {
        let until = call.ended + OBSERVATION_TIME;
        while known.has_reached_limit() && self.clock.now() < until {
            self.enforce_crash_limit(call.request, known).await;
            if known.confirmed >= MAX_CRASHES {
                return;
            }
            self.sleep_until(self.clock.now() + RENEWAL_INTERVAL).await;
            known = self.crashes_under(call).await;
        }
    }

    /// Probes an engine that has closed an idle connection, if its end would be attributed to a request.
    async fn check_after_close(self: Arc<Self>, engine: EngineId) {
        if !self.crashes.observations.attempts().has_any_at(&engine) || !self.pool.remove_closed(&engine) {
            return;
        }
        let Some(address) = self.engines().spec(&engine).map(|spec| spec.address) else { return };
        match self.pool.probe(&engine, address, self.settings.crash_timeouts.probe).await {
            Probe::Accepted(connection) if !self.is_replaced(&engine) => connection.release(),
            Probe::Silent => {}
            Probe::Accepted(_) | Probe::Refused => self.attribute_end(&engine, self.clock.now()),
        }
    }
}

/// Checks engines that close idle connections, until the edge is dropped.
pub(crate) fn watch_closed_connections<D: WireFormat>(
    edge: &Arc<Edge<D>>,
    mut closed: mpsc::Receiver<EngineId>,
) {
    let edge = Arc::downgrade(edge);
    tokio::spawn(async move {
        while let Some(engine) = closed.recv().await {
            let Some(edge) = edge.upgrade() else { return };
            tokio::spawn(edge.check_after_close(engine));
        }
    });
}

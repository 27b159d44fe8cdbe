//! Finds out whether an engine that lost a call has crashed.
//!
//! A refused connection, or another process in the engine's place, confirms a crash. Otherwise the engine is suspected until
//! it shows a sign of life: it keeps a new connection open, or, if it had fallen silent, responds to a health check. From
//! then on it is observed. An examination goes on when the call is over and its caller has left.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use slog::info;
use sumacdrift_calls::{CrashCount, EngineId};
use sumacdrift_quarantine::Certainty;
use sumacdrift_routing::EnginePresence;
use sumacdrift_types::{Mechanism, Timestamp};

use crate::edge::Edge;
use crate::engine_crash::{Ending, SentCall};
use crate::engine_pool::{Health, NoResponse, Probe};
use crate::wire_format::{Responder, WireFormat};

/// Timeout of a health check, and the interval between two of them. Engines that are full answer late.
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);
/// How long a silent engine is examined. Exceeds the time in which the entry of an engine lapses.
const EXAMINATION_TIME: Duration = Duration::from_secs(10);

/// What an examination has found.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Examination {
    pub(crate) has_crashed: bool,
    /// Crashes that are known under the request now.
    pub(crate) known: CrashCount,
}

/// What has become of a suspected engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Crashed,
    Alive,
    Unknown,
}

/// Response to a liveness check.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LivenessResponse {
    pub(crate) responder: Responder,
    pub(crate) status: StatusCode,
}

impl<D: WireFormat> Edge<D> {
    /// Examines the engine of a lost call and reports what it finds. Returns when the call may go on: if as many engines as
    /// allowed may have crashed under its request, only once it is known what has become of this one, unless the call has no
    /// time left.
    pub(crate) async fn examine(self: Arc<Self>, mut call: SentCall) -> Examination {
        if !self.settings.disabled.is_enabled(Mechanism::Quarantine) {
            let has_crashed = self.has_crashed(&call, &self.probe(&call).await);
            return Examination { has_crashed, known: call.known };
        }
        if !self.counts_crashes(&call) {
            return self.examine_uncounted(&call).await;
        }
        self.observe_lost(&call);
        let permit = Arc::clone(&self.crashes.examinations).try_acquire_owned().ok();
        // The caller of a silent engine may be gone, and at another edge before the probe has ended.
        let is_reported = call.ending == Ending::Silent && permit.is_some();
        let (probe, reported) = tokio::join!(self.probe(&call), async {
            if is_reported { Some(self.report_suspicion(&call).await) } else { None }
        });
        if self.has_crashed(&call, &probe) {
            self.metrics.engine_crashes.inc();
            self.forget_lost(&call);
            self.attribute_end(&call.engine, self.clock.now());
            return self.confirm_crash(&call).await;
        }
        let Some(permit) = permit else {
            self.metrics.engines_not_examined.inc();
            info!(self.logger, "too many suspected engines are being examined"; "event" => "engine_not_examined",
                "call" => &call.id, "request" => %call.request, "engine" => %call.engine);
            return Examination { has_crashed: false, known: call.known };
        };
        if matches!(probe, Probe::Silent) {
            call.ending = Ending::Silent;
        }
        let known = match reported {
            Some(known) => known,
            None => self.report_suspicion(&call).await,
        };
        let (ending, request) = (call.ending, call.request);
        let edge = Arc::clone(&self);
        let resolving = tokio::spawn(async move {
            let _permit = permit;
            edge.resolve_suspicion(call, probe, known).await
        });
        let suspected = Examination { has_crashed: false, known };
        if !known.has_reached_limit() {
            return suspected;
        }
        if ending == Ending::Silent {
            self.enforce_crash_limit(request, known).await;
            return suspected;
        }
        resolving.await.unwrap_or(suspected)
    }

    /// Finds out whether the engine of a call has crashed, which doesn't count under the call's request.
    async fn examine_uncounted(self: &Arc<Self>, call: &SentCall) -> Examination {
        let probe = self.probe(call).await;
        let has_crashed = self.has_crashed(call, &probe);
        if has_crashed {
            self.metrics.engine_crashes.inc();
            info!(self.logger, "engine crashed under a request that was served recently";
                "event" => "engine_crashed", "call" => &call.id, "request" => %call.request,
                "engine" => %call.engine, "counted" => false);
            self.attribute_end(&call.engine, self.clock.now());
        }
        Examination { has_crashed, known: call.known }
    }

    async fn report_suspicion(self: &Arc<Self>, call: &SentCall) -> CrashCount {
        self.metrics.engines_suspected.inc();
        self.report_crash(call, Certainty::Suspected).await
    }

    fn has_crashed(&self, call: &SentCall, probe: &Probe) -> bool {
        matches!(probe, Probe::Refused) || self.is_replaced(&call.engine)
    }

    pub(crate) async fn probe(&self, call: &SentCall) -> Probe {
        let (engine, address) = (&call.engine, call.address);
        self.pool.probe(engine, address, self.settings.crash_timeouts.probe).await
    }

    pub(crate) fn is_replaced(&self, engine: &EngineId) -> bool {
        self.engines().presence(engine, self.clock.now()) == EnginePresence::Replaced
    }

    pub(crate) fn presence(&self, call: &SentCall) -> EnginePresence {
        self.engines().presence(&call.engine, self.clock.now())
    }

    pub(crate) async fn confirm_crash(self: &Arc<Self>, call: &SentCall) -> Examination {
        let known = self.report_crash(call, Certainty::Confirmed).await;
        self.enforce_crash_limit(call.request, known).await;
        Examination { has_crashed: true, known }
    }

    /// Finds out what has become of a suspected engine, and reports it.
    async fn resolve_suspicion(
        self: &Arc<Self>,
        call: SentCall,
        probe: Probe,
        known: CrashCount,
    ) -> Examination {
        let verdict = self.await_verdict(&call, probe, known).await;
        match verdict {
            Verdict::Crashed => {
                self.metrics.engine_crashes.inc();
                self.forget_lost(&call);
                let ended = if call.ending == Ending::Silent { call.ended } else { self.clock.now() };
                self.attribute_end(&call.engine, ended);
                self.confirm_crash(&call).await
            }
            Verdict::Alive => {
                let known = self.report_crash(&call, Certainty::Observed).await;
                self.hold_request(call, known);
                self.metrics.suspicions_withdrawn.inc();
                Examination { has_crashed: false, known }
            }
            Verdict::Unknown => {
                info!(self.logger, "a suspected engine is neither known to be alive nor to have crashed";
                    "event" => "suspicion_unresolved", "call" => &call.id, "request" => %call.request,
                    "engine" => %call.engine);
                Examination { has_crashed: false, known }
            }
        }
    }

    async fn await_verdict(&self, call: &SentCall, probe: Probe, known: CrashCount) -> Verdict {
        match (call.ending, probe) {
            (Ending::Broken, Probe::Accepted(connection)) => {
                tokio::time::sleep(self.settings.crash_timeouts.settle).await;
                if self.is_replaced(&call.engine) {
                    Verdict::Crashed
                } else if !connection.is_closed() {
                    connection.release();
                    Verdict::Alive
                } else {
                    // The engine may only have closed an idle connection.
                    match self.probe(call).await {
                        Probe::Refused => Verdict::Crashed,
                        Probe::Accepted(_) => Verdict::Alive,
                        Probe::Silent => self.await_response(call, known).await,
                    }
                }
            }
            _ => self.await_response(call, known).await,
        }
    }

    /// Checks the health of a silent engine until it responds, or until it is known to have crashed.
    async fn await_response(&self, call: &SentCall, known: CrashCount) -> Verdict {
        let until = self.clock.now() + EXAMINATION_TIME;
        loop {
            let started = self.clock.now();
            match self.check_health(call, HEALTH_INTERVAL).await {
                Health::Responds if !self.is_replaced(&call.engine) => return Verdict::Alive,
                Health::Responds | Health::Another | Health::Refused => return Verdict::Crashed,
                Health::Silent if self.presence(call) != EnginePresence::Listed => return Verdict::Crashed,
                Health::Silent => {}
            }
            if self.clock.now() >= until {
                return Verdict::Unknown;
            }
            // Renews the quarantine of a request at the limit.
            self.enforce_crash_limit(call.request, known).await;
            self.sleep_until(started + HEALTH_INTERVAL).await;
        }
    }

    /// Asks the engine of a call for a sign of life, on a connection of its own. A response that doesn't name it is none; that of
    /// another engine at its address shows that the process has ended.
    pub(crate) async fn check_health(&self, call: &SentCall, within: Duration) -> Health {
        match self.request_liveness(&call.engine, call.address, call.health_check_path(), within).await {
            Ok(LivenessResponse { responder: Responder::AnotherEngine, status }) => {
                info!(self.logger, "another engine answers at the address of one that lost a call";
                    "event" => "engine_replaced", "call" => &call.id, "request" => %call.request,
                    "engine" => %call.engine, "status" => status.as_u16());
                Health::Another
            }
            Ok(LivenessResponse { responder: Responder::Unidentified, status }) => {
                info!(self.logger, "a health check after a lost call was answered without the engine's name";
                    "event" => "health_unidentified", "call" => &call.id, "request" => %call.request,
                    "engine" => %call.engine, "status" => status.as_u16());
                Health::Silent
            }
            Ok(LivenessResponse { responder: Responder::Engine, .. }) => Health::Responds,
            Err(NoResponse::Refused) => Health::Refused,
            Err(NoResponse::Silent) => Health::Silent,
        }
    }

    /// Sends a health check that names the engine, on a connection of its own.
    pub(crate) async fn request_liveness(
        &self,
        engine: &EngineId,
        address: SocketAddr,
        health_path: &str,
        within: Duration,
    ) -> Result<LivenessResponse, NoResponse> {
        let headers = self.wire_format.liveness_check_headers(engine);
        let head = self.pool.request_health(address, health_path, headers, within).await?;
        let responder = self.wire_format.identify_responder(&head, engine);
        Ok(LivenessResponse { responder, status: head.status })
    }

    pub(crate) async fn sleep_until(&self, at: Timestamp) {
        tokio::time::sleep_until(self.clock.instant(at)).await;
    }
}

//! Attempts of a call from their sending on. Each one that may have run is examined or remembered once it has ended; one that
//! nothing else ends is lost when its caller leaves.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::StatusCode;
use slog::info;
use sumacdrift_calls::{CallMachine, CrashCount, Failure, MAX_CRASHES, Next};
use sumacdrift_quarantine::{Callers, Certainty, QuarantinedRequest};
use sumacdrift_routing::Placement;
use sumacdrift_types::{Mechanism, ResultCode, Timestamp};

use crate::attempt::CallContext;
use crate::engine_crash::{Ending, SentCall};
use crate::engine_examination::Examination;
use crate::wire_format::WireFormat;

/// Body size up to which equal requests of several callers are expected; larger bodies tell requests apart.
const MAX_SHARED_BODY_BYTES: usize = 4 << 10;

/// The attempt of a call that has not ended yet.
#[derive(Debug, Clone)]
struct OpenAttempt {
    placement: Placement,
    sent: Timestamp,
    known: CrashCount,
    /// Whether the engine was reported as suspected before it was sent.
    is_reported: bool,
}

/// The open attempt of a call, if there is one.
#[derive(Debug, Default)]
pub(crate) struct CurrentAttempt(Mutex<Option<OpenAttempt>>);

impl CurrentAttempt {
    fn lock(&self) -> MutexGuard<'_, Option<OpenAttempt>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<D: WireFormat> CallContext<D> {
    /// Records that the call is being sent to an engine; returns when.
    pub(crate) fn record_sent(
        &self,
        machine: &mut CallMachine,
        placement: &Placement,
        is_reported: bool,
    ) -> Timestamp {
        machine.record_sent(&placement.engine);
        let sent = self.edge.clock.now();
        let attempt =
            OpenAttempt { placement: placement.clone(), sent, known: machine.crashes(), is_reported };
        *self.attempt.lock() = Some(attempt);
        sent
    }

    /// Ends the open attempt; returns it if there is one.
    fn end_attempt(&self) -> Option<OpenAttempt> {
        self.attempt.lock().take()
    }

    /// Records that the engine has answered completely.
    pub(crate) fn record_answered(&self, machine: &CallMachine, status: StatusCode) {
        let Some(attempt) = self.end_attempt() else { return };
        if !self.edge.settings.disabled.is_enabled(Mechanism::Quarantine) {
            return;
        }
        let ending = if status.is_success() { Ending::Served } else { Ending::Answered };
        self.edge.observe_answered(self.sent_call(
            &attempt.placement,
            attempt.sent,
            ending,
            machine.crashes(),
        ));
    }

    /// Reports the engine before a request is sent to it that may have crashed one already, as far as the call knows, or under
    /// which another crash reaches the limit; returns whether it has. Ends the call if the limit has been reached meanwhile.
    pub(crate) async fn report_before_sending(
        &self,
        machine: &mut CallMachine,
        placement: &Placement,
    ) -> Result<bool, Next> {
        let may_have_crashed_engines = machine.crashes().total() > 0;
        let is_view_old = self.edge.is_crash_view_old();
        if self.is_admitted() || !(may_have_crashed_engines || is_view_old || self.edge.may_have_suspects()) {
            return Ok(false);
        }
        let (request, now) = (self.fingerprint(), self.edge.clock.now());
        let is_suspected = may_have_crashed_engines || self.edge.is_suspect(request);
        if !(is_suspected || is_view_old) {
            return Ok(false);
        }
        let call = self.sent_call(placement, now, Ending::Silent, machine.crashes());
        if !self.edge.counts_crashes(&call) {
            return Ok(false);
        }
        let elsewhere = self.edge.crashes_elsewhere(&call).await;
        if !is_suspected && elsewhere.count.is_empty() {
            return Ok(false);
        }
        machine.record_known_crashes(elsewhere.count);
        self.report_suspect_checked(placement, elsewhere, now);
        if let Some(end) = machine.end_at_crash_limit() {
            return Err(end);
        }
        if elsewhere.is_known_here {
            return Ok(false);
        }
        self.edge.report_before_sending(&call).await;
        Ok(true)
    }

    /// Withdraws the report of an attempt that did not cost the engine, apart from the call.
    fn withdraw_report(&self, machine: &CallMachine, placement: &Placement, sent: Timestamp) {
        let call = self.sent_call(placement, sent, Ending::Silent, machine.crashes());
        let edge = Arc::clone(&self.edge);
        tokio::spawn(async move { edge.report_not_run(&call).await });
    }

    fn has_reported(&self) -> bool {
        self.attempt.lock().as_ref().is_some_and(|attempt| attempt.is_reported)
    }

    /// Records a failed attempt and returns the next step. If the engine may have crashed, examines it first. `sent` is when
    /// the attempt was sent.
    pub(crate) async fn record_failure(
        &self,
        machine: &mut CallMachine,
        placement: &Placement,
        sent: Timestamp,
        failure: Failure,
    ) -> Next {
        let is_reported = self.end_attempt().is_some_and(|attempt| attempt.is_reported);
        let engine = &placement.engine;
        let may_have_crashed = match failure {
            // If the engine lost the call before, it is gone now.
            Failure::NotSent => machine.may_have_run_at(engine),
            Failure::Rejected { .. } | Failure::WrongEngine | Failure::Withheld => false,
            Failure::Lost | Failure::Crashed | Failure::Spoiled | Failure::ServerError => true,
        };
        if is_reported && !may_have_crashed {
            self.withdraw_report(machine, placement, sent);
        }
        let mut failure = failure;
        if may_have_crashed && let Some(found) = self.examine(machine, placement, sent).await {
            machine.record_known_crashes(found.known);
            if found.has_crashed {
                failure = Failure::Crashed;
            }
        }
        machine.record_failure(engine, failure, self.edge.clock.now())
    }

    /// Records an answer that is forwarded, and examines the engine if it is a server error.
    pub(crate) async fn record_final_answer(
        &self,
        machine: &CallMachine,
        placement: &Placement,
        sent: Timestamp,
        status: StatusCode,
    ) {
        if status.is_server_error() {
            self.examine_after_error(machine, placement, sent).await;
            return;
        }
        // A success clears all crashes under the request once the engine has outlived it.
        if self.has_reported() && !status.is_success() {
            self.withdraw_report(machine, placement, sent);
        }
        self.record_answered(machine, status);
    }

    /// Examines an engine that ends the call with an error.
    pub(crate) async fn examine_after_error(
        &self,
        machine: &CallMachine,
        placement: &Placement,
        sent: Timestamp,
    ) {
        self.end_attempt();
        // What it finds counts for later calls.
        let _ = self.examine(machine, placement, sent).await;
    }

    /// Examines the engine that lost the call; `None` if that takes longer than the call may wait. The examination goes on if
    /// the caller leaves meanwhile, as it may retry elsewhere.
    async fn examine(
        &self,
        machine: &CallMachine,
        placement: &Placement,
        sent: Timestamp,
    ) -> Option<Examination> {
        let now = self.edge.clock.now();
        let (ending, until) = if now >= machine.deadline() {
            (Ending::Silent, now + self.edge.settings.crash_timeouts.after_deadline)
        } else {
            (Ending::Broken, machine.deadline())
        };
        let call = self.sent_call(placement, sent, ending, machine.crashes());
        let examining = self.edge.begin_examination(call);
        tokio::time::timeout_at(self.edge.clock.instant(until), examining).await.ok()?.ok()
    }

    fn sent_call(
        &self,
        placement: &Placement,
        sent: Timestamp,
        ending: Ending,
        known: CrashCount,
    ) -> SentCall {
        SentCall {
            id: self.head.id.clone(),
            request: self.fingerprint(),
            callers: self.callers(),
            key: self.crash_key(),
            engine: placement.engine.clone(),
            incarnation: placement.engine.incarnation_text().into_owned(),
            address: placement.address,
            sent,
            ended: self.edge.clock.now(),
            ending,
            is_stream: self.selected.route.rules.kind.is_stream(),
            is_admitted: self.is_admitted(),
            health_path: self.selected.service.health_path.clone(),
            known,
        }
    }

    /// Who may send equal requests.
    fn callers(&self) -> Callers {
        let is_small = self.forwarded.body.len() <= MAX_SHARED_BODY_BYTES;
        if self.head.program.is_none() && is_small { Callers::Many } else { Callers::One }
    }

    /// Records crashes under the request that the ledger knows of.
    pub(crate) fn record_known_crashes(&self, machine: &mut CallMachine, crashes: CrashCount) {
        if !self.edge.settings.disabled.is_enabled(Mechanism::Quarantine) {
            return;
        }
        machine.record_known_crashes(crashes);
        if crashes.confirmed >= MAX_CRASHES {
            self.edge.quarantine(QuarantinedRequest::confirmed(self.fingerprint()), "ledger");
        }
    }

    /// Determines the ledger group that records the crashes under the call's request, see
    /// [`CrashClient`](sumacdrift_storage::CrashClient).
    fn crash_key(&self) -> String {
        match &self.head.program {
            Some(program) => self.caller.name_in_ledger(&program.program),
            None => self.fingerprint().to_string(),
        }
    }

    /// Ends the call if its request is in quarantine.
    pub(crate) fn end_if_quarantined(&self, machine: &CallMachine) -> Option<Next> {
        if !self.edge.may_have_quarantined() {
            return None;
        }
        let quarantined = self.edge.find_quarantined(self.fingerprint())?;
        let code = match quarantined.certainty {
            Certainty::Observed | Certainty::Suspected => ResultCode::RequestMayCrashEngines,
            Certainty::Confirmed => ResultCode::RequestCrashesEngines,
        };
        Some(machine.end_quarantined(quarantined.remaining, code))
    }
}

impl<D: WireFormat> Drop for CallContext<D> {
    /// A caller that leaves may do so because its engine has crashed or will, and retry elsewhere.
    fn drop(&mut self) {
        let Some(attempt) = self.end_attempt() else { return };
        info!(self.edge.logger, "caller left before its engine had answered"; "event" => "attempt_abandoned",
            "call" => &self.head.id, "request" => %self.fingerprint(), "engine" => %attempt.placement.engine,
            "sent_ms" => self.edge.clock.now().since(attempt.sent).as_millis() as u64);
        if tokio::runtime::Handle::try_current().is_ok() {
            let call = self.sent_call(&attempt.placement, attempt.sent, Ending::Silent, attempt.known);
            self.edge.begin_examination(call);
        }
    }
}

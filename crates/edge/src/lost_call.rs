//! Calls that an engine has not answered: what happens when it fails them, or when their caller leaves.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::StatusCode;
use slog::info;
use sumacdrift_calls::{CallMachine, CrashCount, Failure, MAX_CRASHES, Next};
use sumacdrift_quarantine::{Callers, Certainty, QuarantinedRequest};
use sumacdrift_routing::Placement;
use sumacdrift_types::{Mechanism, ResultCode, Timestamp};

use crate::attempt::CallContext;
use crate::engine_crash::{Loss, LostCall};
use crate::engine_examination::Examination;
use crate::wire_format::WireFormat;

/// Body size up to which equal requests of several callers are expected; larger bodies tell requests apart.
const MAX_SHARED_BODY_BYTES: usize = 4 << 10;

/// The attempt of a call that an engine has not answered yet.
#[derive(Debug, Clone)]
struct UnansweredAttempt {
    placement: Placement,
    sent: Timestamp,
    /// When the engine last sent something, or got the call.
    heard: Timestamp,
    known: CrashCount,
    /// Whether the engine was reported as suspected before it was sent.
    is_reported: bool,
}

/// The unanswered attempt of a call, if there is one.
#[derive(Debug, Default)]
pub(crate) struct Unanswered(Mutex<Option<UnansweredAttempt>>);

impl Unanswered {
    fn lock(&self) -> MutexGuard<'_, Option<UnansweredAttempt>> {
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
        let now = self.edge.clock.now();
        let attempt = UnansweredAttempt {
            placement: placement.clone(),
            sent: now,
            heard: now,
            known: machine.crashes(),
            is_reported,
        };
        *self.unanswered.lock() = Some(attempt);
        now
    }

    /// Records that the engine has sent a part of its answer.
    pub(crate) fn record_heard(&self) {
        if let Some(attempt) = self.unanswered.lock().as_mut() {
            attempt.heard = self.edge.clock.now();
        }
    }

    /// Records that the engine has answered.
    pub(crate) fn record_answered(&self) {
        *self.unanswered.lock() = None;
    }

    /// Reports the engine before a request is sent to it that may have crashed one already, as far as the call knows, or under
    /// which another crash reaches the limit; returns whether it has. Ends the call if the limit has been reached meanwhile.
    pub(crate) async fn report_before_sending(
        &self,
        machine: &mut CallMachine,
        placement: &Placement,
    ) -> Result<bool, Next> {
        let may_have_crashed_engines = machine.crashes().total() > 0;
        if self.is_admitted() || !(may_have_crashed_engines || self.edge.may_have_suspects()) {
            return Ok(false);
        }
        let (request, now) = (self.fingerprint(), self.edge.clock.now());
        let was_served = self.callers() == Callers::Many && self.edge.crashes.was_served(request, now);
        if was_served || !(may_have_crashed_engines || self.edge.is_suspect(request)) {
            return Ok(false);
        }
        let call = self.lost_call(placement, now, Loss::Silent, machine.crashes());
        let elsewhere = self.edge.crashes_elsewhere(&call).await;
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
        let call = self.lost_call(placement, sent, Loss::Silent, machine.crashes());
        let edge = Arc::clone(&self.edge);
        tokio::spawn(async move { edge.report_not_run(&call).await });
    }

    fn has_reported(&self) -> bool {
        self.unanswered.lock().as_ref().is_some_and(|attempt| attempt.is_reported)
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
        let is_reported = self.has_reported();
        self.record_answered();
        let engine = &placement.engine;
        let may_have_crashed = match failure {
            Failure::Lost | Failure::Spoiled | Failure::ServerError => true,
            // The engine lost the call before and is gone now.
            Failure::NotSent => machine.may_have_run_at(engine),
            _ => false,
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
        // A success clears all crashes under the request.
        if self.has_reported() && !status.is_success() {
            self.withdraw_report(machine, placement, sent);
        }
        self.record_answered();
    }

    /// Examines an engine that ends the call with an error.
    pub(crate) async fn examine_after_error(
        &self,
        machine: &CallMachine,
        placement: &Placement,
        sent: Timestamp,
    ) {
        self.record_answered();
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
        let (loss, until) = if now >= machine.deadline() {
            (Loss::Silent, now + self.edge.settings.crash_timeouts.after_deadline)
        } else {
            (Loss::Broken, machine.deadline())
        };
        let call = self.lost_call(placement, sent, loss, machine.crashes());
        let examining = self.edge.begin_examination(call);
        tokio::time::timeout_at(self.edge.clock.instant(until), examining).await.ok()?.ok()
    }

    fn lost_call(&self, placement: &Placement, sent: Timestamp, loss: Loss, known: CrashCount) -> LostCall {
        LostCall {
            id: self.head.id.clone(),
            request: self.fingerprint(),
            callers: self.callers(),
            key: self.crash_key(),
            engine: placement.engine.clone(),
            incarnation: placement.engine.incarnation_text().into_owned(),
            address: placement.address,
            sent,
            lost: self.edge.clock.now(),
            loss,
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

    /// Records that an engine served the call.
    pub(crate) fn record_served(&self, machine: &CallMachine) {
        if self.callers() == Callers::Many && !self.selected.route.rules.kind.is_stream() {
            self.edge.crashes.record_served(self.fingerprint(), self.edge.clock.now());
        }
        if !machine.crashes().is_empty() {
            let (edge, request, key) = (Arc::clone(&self.edge), self.fingerprint(), self.crash_key());
            tokio::spawn(async move { edge.report_served_after_crash(request, &key).await });
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
    /// A caller that leaves while its engine is silent may do so because the engine has crashed, and retry elsewhere.
    fn drop(&mut self) {
        let Some(attempt) = self.unanswered.lock().take() else { return };
        let silence = self.edge.clock.now().since(attempt.heard);
        let has_runtime = tokio::runtime::Handle::try_current().is_ok();
        // After a crash or a loss under the request, the next engine is examined however short its silence was.
        let is_silent = silence >= self.edge.settings.crash_timeouts.silence || !attempt.known.is_empty();
        info!(self.edge.logger, "caller left before its engine had answered"; "event" => "attempt_abandoned",
            "call" => &self.head.id, "request" => %self.fingerprint(), "engine" => %attempt.placement.engine,
            "sent_ms" => self.edge.clock.now().since(attempt.sent).as_millis() as u64,
            "silent_ms" => silence.as_millis() as u64, "examined" => is_silent);
        if has_runtime && is_silent {
            let call = self.lost_call(&attempt.placement, attempt.sent, Loss::Silent, attempt.known);
            self.edge.begin_examination(call);
        }
    }
}

//! Admission of callers by API key, and tenants' quotas.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use sumacdrift_access::{AccessRefusal, AccessRequest, ApiKey, QuotaCall, Tenant, check_access};
use sumacdrift_calls::{CallMachine, CallMetadata};
use sumacdrift_storage::QuotaOutcome;
use sumacdrift_types::{ResultCode, stable_hash};

use crate::edge::Edge;
use crate::wire_format::WireFormat;

/// Retry delay if the configuration is too old to check keys, with a jitter of ±25 % so that callers don't retry
/// all at once. By then the store has usually been unreachable for seconds and will be for about as long again; with
/// short delays, callers would use up their few retries before it returns.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Retry delay if no node that counts quotas responded.
const QUOTA_UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A call waits for a recent enough configuration for at most the time to its deadline divided by this, and for at most
/// [`MAX_ADMISSION_WAIT`]. The remaining time is left to run the call or to retry elsewhere.
const ADMISSION_WAIT_DIVISOR: u32 = 3;
const MAX_ADMISSION_WAIT: Duration = Duration::from_millis(1000);

/// The call was not admitted and has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Denied {
    pub(crate) code: ResultCode,
    /// Retry delay, if a retry may help.
    pub(crate) retry_after: Option<Duration>,
}

/// An admitted caller.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    key: Option<ApiKey>,
    is_public: bool,
    /// The tenant of the caller's key; `None` if the key is absent or not known.
    pub(crate) tenant: Option<Arc<Tenant>>,
    /// Whether the edge checks keys, so that they must not be forwarded to engines.
    pub(crate) has_checked_key: bool,
}

/// An access decision and what it was based on.
struct AccessDecision {
    outcome: Result<Option<Arc<Tenant>>, AccessRefusal>,
    requires_keys: bool,
    version: Option<u64>,
    /// Time since the configuration was last confirmed; `None` if it never was.
    age: Option<Duration>,
}

impl<D: WireFormat> Edge<D> {
    /// Admits or denies a caller by its key. If the configuration is too old to decide, waits for a confirmation
    /// for a while: the store may become reachable at any moment, and callers have few retries. A caller with a deadline
    /// of 1.2 s and one retry outlasts 0.4 s by retrying, and twice that by waiting.
    pub(crate) async fn admit(
        &self,
        head: &CallMetadata,
        key: Option<ApiKey>,
        is_public: bool,
        machine: &CallMachine,
    ) -> Result<Caller, Denied> {
        let mut confirmations = self.watch_confirmations();
        let started = self.clock.now();
        let max_wait = (machine.deadline().since(started) / ADMISSION_WAIT_DIVISOR).min(MAX_ADMISSION_WAIT);
        let until = self.clock.instant(started + max_wait);
        let decision = loop {
            let decision = self.decide_access(key.as_ref(), is_public);
            let is_too_old = matches!(decision.outcome, Err(AccessRefusal::TooOld));
            if !is_too_old || tokio::time::timeout_at(until, confirmations.changed()).await.is_err() {
                break decision;
            }
        };
        let has_checked_key = decision.requires_keys;
        let waited = self.clock.now().since(started);
        let tenant = self.report_access(&head.id, key.is_some(), waited, decision).map_err(deny)?;
        Ok(Caller { key, is_public, tenant, has_checked_key })
    }

    /// Checks an admitted caller again, so that a key withdrawn meanwhile starts no further attempts.
    pub(crate) fn recheck_access(&self, head: &CallMetadata, caller: &Caller) -> Result<(), ResultCode> {
        let decision = self.decide_access(caller.key.as_ref(), caller.is_public);
        let outcome = self.report_access(&head.id, caller.key.is_some(), Duration::ZERO, decision);
        outcome.map(drop).map_err(AccessRefusal::code)
    }

    fn decide_access(&self, key: Option<&ApiKey>, is_public: bool) -> AccessDecision {
        let table = self.routes().table().cloned();
        let age = self.configuration_age();
        let request = AccessRequest { key, is_public, age };
        let outcome = table.as_ref().map_or(Ok(None), |table| {
            check_access(&table.access, request, self.settings.configuration_age_limits)
        });
        let requires_keys = table.as_ref().is_some_and(|table| table.access.requires_keys());
        AccessDecision { outcome, requires_keys, version: table.map(|table| table.version), age }
    }

    /// Logs and counts the denial, if the caller is denied.
    fn report_access(
        &self,
        call: &str,
        has_key: bool,
        waited: Duration,
        decision: AccessDecision,
    ) -> Result<Option<Arc<Tenant>>, AccessRefusal> {
        let AccessDecision { outcome, version, age, .. } = decision;
        if let Err(refusal) = &outcome {
            self.metrics.record_unsuccessful_call(refusal.code());
            info!(self.logger, "caller denied"; "event" => "access_refused", "call" => call,
                "code" => refusal.code().number(), "reason" => %refusal, "has_key" => has_key,
                "version" => version, "age_ms" => age.map(millis), "waited_ms" => millis(waited),
                "limit_ms" => self.settings.configuration_age_limits.known_key.map(millis));
        }
        outcome
    }

    /// Counts the call against its tenant's quota; denies it if the quota is used up or can't be checked.
    pub(crate) async fn check_quota(
        &self,
        head: &CallMetadata,
        caller: &Caller,
        machine: &CallMachine,
    ) -> Result<(), Denied> {
        let Some(tenant) = &caller.tenant else { return Ok(()) };
        let Some(limit) = tenant.quota else { return Ok(()) };
        let started = self.clock.now();
        let version = self.routes().table().map_or(0, |table| table.version);
        let until = self.clock.instant(machine.admission_deadline(started));
        let program = head.program.as_ref().map(|program| stable_hash(&[program.program.as_bytes()]));
        let call = QuotaCall { tenant: &tenant.name, program, limit, version };
        let outcome = self.quotas.ask(call, until).await;
        let waited = self.clock.now().since(started);
        self.metrics.quota_seconds.observe(waited.as_secs_f64());
        let (denied, counted) = match outcome {
            QuotaOutcome::Granted => return Ok(()),
            QuotaOutcome::Exceeded { retry_after, counted } => {
                (Denied { code: ResultCode::QuotaExceeded, retry_after: Some(retry_after) }, Some(counted))
            }
            QuotaOutcome::Unavailable => (
                Denied {
                    code: ResultCode::QuotaUnavailable,
                    retry_after: Some(QUOTA_UNAVAILABLE_RETRY_AFTER),
                },
                None,
            ),
        };
        self.metrics.record_unsuccessful_call(denied.code);
        info!(self.logger, "call rejected by its tenant's quota"; "event" => "quota_refused", "call" => &head.id,
            "tenant" => &*tenant.name, "code" => denied.code.number(), "counted" => counted,
            "most" => limit.max_calls(), "version" => version, "waited_ms" => millis(waited),
            "retry_after_ms" => denied.retry_after.map(millis));
        Err(denied)
    }
}

fn deny(refusal: AccessRefusal) -> Denied {
    let retry_after = match refusal {
        AccessRefusal::UnknownKey => None,
        AccessRefusal::TooOld => Some(STALE_RETRY_AFTER.mul_f64(0.75 + rand::random::<f64>() / 2.0)),
    };
    Denied { code: refusal.code(), retry_after }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

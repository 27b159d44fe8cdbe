//! Whether a caller is admitted, and whether its tenant may make one more call.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use sumacdrift_access::{AccessFacts, AccessRefusal, ApiKey, QuotaCall, Tenant, decide};
use sumacdrift_calls::{CallHead, CallMachine};
use sumacdrift_storage::QuotaOutcome;
use sumacdrift_types::{ResultCode, stable_hash};

use crate::dialect::Dialect;
use crate::edge::Edge;

/// When a caller is told to come back that asked a node which knows too little of keys, give or take a quarter so that
/// callers don't come back all at once. The store has been out of reach for seconds then, and as a rule stays so for about
/// as long again: a program whose turns have few tries outlasts it with long pauses, not with short ones.
const COME_BACK_WHEN_TOO_OLD: Duration = Duration::from_millis(800);
/// The same where no node that counts calls answered.
const COME_BACK_WHEN_UNCOUNTED: Duration = Duration::from_millis(200);

/// Share of a call's time, as a divisor, for which it waits at the most until enough is known of keys, and the longest such
/// time: what is left is enough for its run, or for another try elsewhere.
const PATIENCE_SHARE: u32 = 3;
const LONGEST_PATIENCE: Duration = Duration::from_millis(1000);

/// A call is not admitted; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Denied {
    /// Why.
    pub(crate) code: ResultCode,
    /// When to come back, where that may help.
    pub(crate) retry_after: Option<Duration>,
}

/// Who calls, and with what right.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    key: Option<ApiKey>,
    is_public: bool,
    /// The tenant, where the caller showed a key that is known.
    pub(crate) tenant: Option<Arc<Tenant>>,
    /// Whether keys are the system's business, so that engines must not see them.
    pub(crate) has_checked_key: bool,
}

/// What is decided of a caller, and by what.
struct AccessDecision {
    outcome: Result<Option<Arc<Tenant>>, AccessRefusal>,
    /// Whether keys are checked at all.
    requires_keys: bool,
    /// Version of the configuration in force.
    version: Option<u64>,
    /// How old it is.
    age: Option<Duration>,
}

impl<D: Dialect> Edge<D> {
    /// Admits a caller, or not, by what is known of its key. Where too little is known it is waited for a while, as a store that
    /// was away may be back at any moment and callers have few tries: a tool's call of 1.2 s with one retry outlasts 0.4 s by
    /// retrying, and twice that by waiting.
    pub(crate) async fn admit(
        &self,
        head: &CallHead,
        key: Option<ApiKey>,
        is_public: bool,
        machine: &CallMachine,
    ) -> Result<Caller, Denied> {
        let mut confirmations = self.confirmations();
        let begun = self.clock.now();
        let patience = (machine.deadline().since(begun) / PATIENCE_SHARE).min(LONGEST_PATIENCE);
        let until = self.clock.instant(begun + patience);
        let decided = loop {
            let decided = self.decide_access(key.as_ref(), is_public);
            let is_too_old = matches!(decided.outcome, Err(AccessRefusal::TooOld));
            if !is_too_old || tokio::time::timeout_at(until, confirmations.changed()).await.is_err() {
                break decided;
            }
        };
        let has_checked_key = decided.requires_keys;
        let waited = self.clock.now().since(begun);
        let tenant = self.report_access(&head.id, key.is_some(), waited, decided).map_err(denied)?;
        Ok(Caller { key, is_public, tenant, has_checked_key })
    }

    /// Whether a caller that was admitted would be admitted now: a key that was withdrawn meanwhile opens nothing more.
    pub(crate) fn is_still_admitted(&self, head: &CallHead, caller: &Caller) -> Result<(), ResultCode> {
        let decided = self.decide_access(caller.key.as_ref(), caller.is_public);
        let outcome = self.report_access(&head.id, caller.key.is_some(), Duration::ZERO, decided);
        outcome.map(drop).map_err(AccessRefusal::code)
    }

    fn decide_access(&self, key: Option<&ApiKey>, is_public: bool) -> AccessDecision {
        let table = self.routes().table().cloned();
        let age = self.configuration_age();
        let facts = AccessFacts { key, is_public, age };
        let outcome =
            table.as_ref().map_or(Ok(None), |table| decide(&table.access, facts, self.settings.knowledge));
        let requires_keys = table.as_ref().is_some_and(|table| table.access.requires_keys());
        AccessDecision { outcome, requires_keys, version: table.map(|table| table.version), age }
    }

    /// Says why a caller is denied, if it is.
    fn report_access(
        &self,
        call: &str,
        has_key: bool,
        waited: Duration,
        decided: AccessDecision,
    ) -> Result<Option<Arc<Tenant>>, AccessRefusal> {
        let AccessDecision { outcome, version, age, .. } = decided;
        if let Err(refusal) = &outcome {
            self.metrics.gave_up(refusal.code());
            info!(self.logger, "caller denied"; "event" => "access_refused", "call" => call,
                "code" => refusal.code().number(), "reason" => %refusal, "has_key" => has_key,
                "version" => version, "age_ms" => age.map(millis), "waited_ms" => millis(waited),
                "limit_ms" => self.settings.knowledge.known_key.map(millis));
        }
        outcome
    }

    /// Counts a call for its tenant, unless that would be beyond the tenant's quota.
    pub(crate) async fn count_call(
        &self,
        head: &CallHead,
        caller: &Caller,
        machine: &CallMachine,
    ) -> Result<(), Denied> {
        let Some(tenant) = &caller.tenant else { return Ok(()) };
        let Some(limit) = tenant.quota else { return Ok(()) };
        let asked = self.clock.now();
        let version = self.routes().table().map_or(0, |table| table.version);
        let until = self.clock.instant(machine.admission_deadline(asked));
        let program = head.program.as_ref().map(|program| stable_hash(&[program.program.as_bytes()]));
        let call = QuotaCall { tenant: &tenant.name, program, limit, version };
        let outcome = self.quotas.ask(call, until).await;
        let waited = self.clock.now().since(asked);
        self.metrics.quota_seconds.observe(waited.as_secs_f64());
        let (refused, counted) = match outcome {
            QuotaOutcome::Granted => return Ok(()),
            QuotaOutcome::Exceeded { retry_after, counted } => {
                (Denied { code: ResultCode::QuotaExceeded, retry_after: Some(retry_after) }, Some(counted))
            }
            QuotaOutcome::Unavailable => (
                Denied { code: ResultCode::QuotaUnavailable, retry_after: Some(COME_BACK_WHEN_UNCOUNTED) },
                None,
            ),
        };
        self.metrics.gave_up(refused.code);
        info!(self.logger, "call not within its quota"; "event" => "quota_refused", "call" => &head.id,
            "tenant" => &*tenant.name, "code" => refused.code.number(), "counted" => counted,
            "most" => limit.most(), "version" => version, "waited_ms" => millis(waited),
            "retry_after_ms" => refused.retry_after.map(millis));
        Err(refused)
    }
}

fn denied(refusal: AccessRefusal) -> Denied {
    let retry_after = match refusal {
        AccessRefusal::UnknownKey => None,
        AccessRefusal::TooOld => Some(COME_BACK_WHEN_TOO_OLD.mul_f64(0.75 + rand::random::<f64>() / 2.0)),
    };
    Denied { code: refusal.code(), retry_after }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

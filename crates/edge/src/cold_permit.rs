//! Permits for calls to cold engines, which limit the rate of all nodes together to what such an engine can take.
//!
//! They are counted by the nodes that count tenants' quotas, under one name per engine; see
//! [`sumacdrift_storage::QuotaClient`]. A node that can't get a permit sends nothing to the engine.

use std::time::Duration;

use slog::info;
use sumacdrift_access::{QuotaCall, QuotaLimit};
use sumacdrift_calls::{CallMachine, CallMetadata, EngineId};
use sumacdrift_routing::{ColdLimit, PERMIT_VALIDITY, Permit};
use sumacdrift_storage::QuotaOutcome;
use sumacdrift_types::Timestamp;

use crate::edge::Edge;
use crate::wire_format::WireFormat;

/// The limit holds over any window of this length.
const PERMIT_WINDOW: Duration = Duration::from_secs(1);
/// Bounds of the back-off after a permit was denied: shorter ones only lead to another denial, and within a longer
/// one the engine may have warmed up.
const MIN_BACKOFF: Duration = Duration::from_millis(40);
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Back-off if no counting node responded.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_millis(200);
/// Longest wait of a call for a permit if only cold engines are eligible. It exceeds most waits for the next
/// permit; calls that would wait longer are rejected with a retry delay.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(400);
/// Prefix of an engine's name among the counted names. Tenants' names contain no control characters.
const COLD_ENGINE_PREFIX: &str = "cold\u{1f}";

/// Tolerated excess over the configured call rate of cold engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTolerance {
    /// Factor on the configured rate of a service's cold engines.
    pub rate_factor: f64,
    /// Calls allowed within the window in addition.
    pub extra_calls: f64,
}

impl Default for ColdTolerance {
    fn default() -> Self {
        Self { rate_factor: 1.0, extra_calls: 0.0 }
    }
}

impl ColdTolerance {
    /// The limit for all nodes together, chosen so that no window exceeds the tolerated rate.
    pub fn limit(self, cold: ColdLimit) -> QuotaLimit {
        let bound = cold.calls_per_second * self.rate_factor + self.extra_calls;
        QuotaLimit::within_bound(cold.calls_per_second, bound, PERMIT_WINDOW, PERMIT_VALIDITY)
    }
}

impl<D: WireFormat> Edge<D> {
    /// Requests a permit for one call to a cold engine. If it is denied, the engine is not selected again until a
    /// back-off has passed.
    pub(crate) async fn acquire_permit(
        &self,
        head: &CallMetadata,
        engine: &EngineId,
        cold: ColdLimit,
        machine: &CallMachine,
    ) -> Option<Permit> {
        let asked = self.clock.now();
        let limit = self.settings.cold.limit(cold);
        let version = self.routes().table().map_or(0, |table| table.version);
        let counted_name = format!("{COLD_ENGINE_PREFIX}{engine}");
        let call = QuotaCall { tenant: &counted_name, program: None, limit, version };
        let until = (asked + PERMIT_VALIDITY).min(machine.deadline());
        let outcome = self.quotas.ask(call, self.clock.instant(until)).await;
        let backoff = match outcome {
            QuotaOutcome::Granted => {
                self.metrics.permits.inc();
                let waited = self.clock.now().since(asked);
                info!(self.logger, "permit for a call to a cold engine"; "event" => "permit_granted",
                    "call" => &head.id, "engine" => %engine, "version" => version,
                    "waited_ms" => waited.as_millis() as u64);
                return Some(Permit { asked });
            }
            QuotaOutcome::Exceeded { retry_after, .. } => retry_after.clamp(MIN_BACKOFF, MAX_BACKOFF),
            QuotaOutcome::Unavailable => UNAVAILABLE_BACKOFF,
        };
        self.metrics.permits_refused.inc();
        let now = self.clock.now();
        self.engines().record_permit_denial(engine, now + backoff);
        info!(self.logger, "no permit for a call to a cold engine"; "event" => "permit_refused", "call" => &head.id,
            "engine" => %engine, "outcome" => ?outcome, "most" => limit.max_calls(), "version" => version,
            "waited_ms" => now.since(asked).as_millis() as u64, "pause_ms" => backoff.as_millis() as u64);
        None
    }

    /// Until when a call may wait for permits if only cold engines are eligible.
    pub(crate) fn permit_wait_deadline(&self, machine: &CallMachine) -> Timestamp {
        let now = self.clock.now();
        machine.admission_deadline(now).min(now + MAX_PERMIT_WAIT)
    }
}

//! Permits for calls to engines that are cold: all nodes together send such an engine no more than it takes.
//!
//! The nodes that count tenants' calls count these too, one name an engine; see [`sumacdrift_storage::QuotaClient`]. A node
//! that can't ask sends nothing there.

use std::time::Duration;

use slog::info;
use sumacdrift_access::{QuotaCall, QuotaLimit};
use sumacdrift_calls::{CallHead, CallMachine, EngineId};
use sumacdrift_routing::{ColdLimit, PERMIT_LASTS, Permit};
use sumacdrift_storage::QuotaOutcome;
use sumacdrift_types::Timestamp;

use crate::dialect::Dialect;
use crate::edge::Edge;

/// Any span of this length counts.
const PERMIT_WINDOW: Duration = Duration::from_secs(1);
/// How long an engine is not asked for again by a node whose call was not permitted, at the least and at the most: shorter
/// pauses only ask in vain, and within the longest one an engine may be warm.
const LEAST_PAUSE: Duration = Duration::from_millis(40);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// The same where no node that counts answered.
const PAUSE_UNCOUNTED: Duration = Duration::from_millis(200);
/// How long a call waits for permits where only cold engines are there. Longer than most pauses until the next permit; a
/// caller that would wait longer is better told to come back.
const PERMIT_PATIENCE: Duration = Duration::from_millis(400);
/// Stands before an engine's name among the names of what is counted. Tenants' names hold no control characters.
const COLD_ENGINE: &str = "cold\u{1f}";

/// How much more than told cold engines may get before it counts as too much.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTolerance {
    /// Times the calls a second that a service's cold engines take.
    pub times: f64,
    /// Calls besides.
    pub calls: f64,
}

impl Default for ColdTolerance {
    fn default() -> Self {
        Self { times: 1.0, calls: 0.0 }
    }
}

impl ColdTolerance {
    /// The limit for all nodes together.
    pub fn limit(self, cold: ColdLimit) -> QuotaLimit {
        let bound = cold.calls_per_second * self.times + self.calls;
        QuotaLimit::within_bound(cold.calls_per_second, bound, PERMIT_WINDOW, PERMIT_LASTS)
    }
}

impl<D: Dialect> Edge<D> {
    /// Asks for a permit for one call to a cold engine. Where there is none, the engine is not chosen again for a while.
    pub(crate) async fn permit(
        &self,
        head: &CallHead,
        engine: &EngineId,
        cold: ColdLimit,
        machine: &CallMachine,
    ) -> Option<Permit> {
        let asked = self.clock.now();
        let limit = self.settings.cold.limit(cold);
        let version = self.routes().table().map_or(0, |table| table.version);
        let counted = format!("{COLD_ENGINE}{engine}");
        let call = QuotaCall { tenant: &counted, program: None, limit, version };
        let until = (asked + PERMIT_LASTS).min(machine.deadline());
        let outcome = self.quotas.ask(call, self.clock.instant(until)).await;
        let pause = match outcome {
            QuotaOutcome::Granted => {
                self.metrics.permits.inc();
                return Some(Permit { asked });
            }
            QuotaOutcome::Exceeded { retry_after, .. } => retry_after.clamp(LEAST_PAUSE, LONGEST_PAUSE),
            QuotaOutcome::Unavailable => PAUSE_UNCOUNTED,
        };
        self.metrics.permits_refused.inc();
        let now = self.clock.now();
        self.book().cold_refused(engine, now + pause);
        info!(self.logger, "no permit for a cold engine"; "event" => "permit_refused", "call" => &head.id,
            "engine" => %engine, "outcome" => ?outcome, "most" => limit.most(), "version" => version,
            "waited_ms" => now.since(asked).as_millis() as u64, "pause_ms" => pause.as_millis() as u64);
        None
    }

    /// Until when a call that is to be sent now waits for permits where only cold engines are there.
    pub(crate) fn permits_awaited_until(&self, machine: &CallMachine) -> Timestamp {
        let now = self.clock.now();
        machine.admission_deadline(now).min(now + PERMIT_PATIENCE)
    }
}

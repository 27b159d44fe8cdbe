//! Cold engines: just started or idle for a while, with a limited rate of calls until they have warmed up.
//!
//! An engine's directory entry states how long it will stay cold. After an evacuation that may arrive too late: the
//! next report comes up to a heartbeat later, and by then all nodes would have sent the engine a zone's load. Such an
//! engine is therefore assumed cold for the service's warm-up time.

use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

/// Limits of a service's engines while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Warm-up time after a start.
    pub warmup: Duration,
    /// Calls a second that a cold engine accepts from all nodes together.
    pub calls_per_second: f64,
}

/// What this node knows about an engine being cold.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ColdState {
    /// From the engine's newest report.
    reported_until: Option<Timestamp>,
    /// Assumed without a report, after an evacuation.
    inferred_until: Option<Timestamp>,
    /// Until then this node may not request another permit.
    denied_until: Option<Timestamp>,
}

impl ColdState {
    /// Records the remaining warm-up time from the engine's newest report.
    pub(crate) fn record_report(&mut self, remaining: Duration, now: Timestamp) {
        self.reported_until = (!remaining.is_zero()).then(|| now + remaining);
    }

    /// Assumes that the engine is cold until then.
    pub(crate) fn infer(&mut self, until: Timestamp) {
        if !is_broken(Rule::EvacuatedEnginesBecomeCold) {
            self.inferred_until = self.inferred_until.max(Some(until));
        }
    }

    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        self.reported_until.max(self.inferred_until).is_some_and(|until| until > now)
    }

    /// Records that no further permit is granted to this node before `until`.
    pub(crate) fn record_denial(&mut self, until: Timestamp) {
        self.denied_until = Some(until);
    }

    /// When the next permit may be requested; `None` if it may be now or none is needed.
    pub(crate) fn next_permit_at(&self, now: Timestamp) -> Option<Timestamp> {
        self.denied_until.filter(|until| *until > now && self.is_cold(now))
    }
}

/// A permit for one call to a cold engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Time of the request, never later than the grant.
    pub asked: Timestamp,
}

/// Validity of a permit, counted from its request: calls sent later would add to those of the next second. Long
/// enough for an exchange and a new connection within a region, about 10 ms.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(150);

impl Permit {
    pub(crate) fn is_valid(self, now: Timestamp) -> bool {
        now.since(self.asked) <= PERMIT_VALIDITY
    }
}

//! Engines that have only just started, or were emptied for a while, and can take few calls.
//!
//! An engine's entry tells how much longer it is cold. Behind an evacuation it may be cold without having said so yet: its
//! next report comes up to a heartbeat later, and by then all nodes would have sent it a zone's whole work. So it counts as
//! cold for as long as engines of its service are after a start.

use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

/// What engines of a service take while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// How long an engine is cold after its start.
    pub lasts: Duration,
    /// Calls a second that it can take meanwhile, from all nodes together.
    pub calls_per_second: f64,
}

/// Whether an engine is cold, as far as is known.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Coldness {
    /// Until when, as its newest report told.
    told_until: Option<Timestamp>,
    /// Until when it counts as cold for what happened to it.
    inferred_until: Option<Timestamp>,
    /// Until when no further call of this node may be asked for.
    refused_until: Option<Timestamp>,
}

impl Coldness {
    /// The engine told how much longer it is cold; a newer report goes before an older one.
    pub(crate) fn told(&mut self, left: Duration, now: Timestamp) {
        self.told_until = (!left.is_zero()).then(|| now + left);
    }

    /// Something happened after which engines are cold for so long, as a rule.
    pub(crate) fn infer(&mut self, lasts: Duration, now: Timestamp) {
        if !is_broken(Rule::EvacuatedEnginesComeBackCold) {
            self.inferred_until = self.inferred_until.max(Some(now + lasts));
        }
    }

    /// Whether the engine counts as cold.
    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        self.told_until.max(self.inferred_until).is_some_and(|until| until > now)
    }

    /// No further call of this node was permitted until a time.
    pub(crate) fn refused(&mut self, until: Timestamp) {
        self.refused_until = Some(until);
    }

    /// From when on a permit for another call may be asked for; `None` where it may be now, or none is needed.
    pub(crate) fn closed_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.refused_until.filter(|until| *until > now && self.is_cold(now))
    }
}

/// A permit for one call to a cold engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// When it was asked for, which is no later than when it was given.
    pub asked: Timestamp,
}

/// How long after it was asked for a permit allows a call: calls that are sent late would add to those of the next
/// second. Longer than an exchange and a new connection take, 10 ms within a region.
pub const PERMIT_LASTS: Duration = Duration::from_millis(150);

impl Permit {
    /// Whether it still allows a call.
    pub(crate) fn is_valid(self, now: Timestamp) -> bool {
        now.since(self.asked) <= PERMIT_LASTS
    }
}

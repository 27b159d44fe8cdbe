//! One engine and the state this node tracks for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_calls::{EngineId, EngineVersion};
use sumacdrift_fleet_view::engine_key;
use sumacdrift_scheduling::{CircuitBreaker, CircuitBreakerSettings};
use sumacdrift_types::Timestamp;

use crate::cold::ColdState;
use crate::ejection::EjectionState;
use crate::peer_load::PeerLoad;
use crate::recent_calls::CallCounts;
use crate::slowness::Slowness;

/// An engine's entry in the directory.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Identifies one incarnation of the engine.
    pub id: EngineId,
    pub service: Arc<str>,
    /// Software version. Versions of a service may run side by side.
    pub version: EngineVersion,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    /// Number of calls the engine processes concurrently.
    pub slots: usize,
    /// Whether the engine is draining and accepts no new work.
    pub is_draining: bool,
    /// Remaining warm-up time at the time of the report.
    pub warmup_left: Duration,
    /// Sequence number of the engine's report; higher is newer.
    pub report: u64,
}

/// What the outcome of a call shows about the engine's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Success, or an error caused by the caller.
    Sound,
    /// The engine rejected the call.
    Busy,
    /// An error caused by the engine.
    Faulty,
    /// No connection to the engine.
    Unreachable,
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) spec: EngineSpec,
    pub(crate) key: u32,
    /// This node's calls in flight.
    pub(crate) running: usize,
    /// Prompt tokens of these calls that the engine has not prefilled yet.
    pub(crate) unread_tokens: u64,
    pub(crate) circuit_breaker: CircuitBreaker,
    pub(crate) unusable_since: Option<Timestamp>,
    /// When it was learned that the engine will end: its entry said that it drains, or was removed.
    pub(crate) leaving_since: Option<Timestamp>,
    /// Whether the directory has an entry of the engine.
    pub(crate) is_listed: bool,
    /// Whether the engine may not even be used as a last resort until its entry reappears.
    is_withdrawn: bool,
    pub(crate) cold_state: ColdState,
    slowness: Slowness,
    last_outcome: Option<LastOutcome>,
    /// Recent failures and ejection; `None` if there were no recent calls.
    pub(crate) ejection: Option<Box<EjectionState>>,
    pub(crate) peer_load: PeerLoad,
    /// Set if the engine is in a group of interchangeable ones.
    pub(crate) group_position: Option<GroupPosition>,
}

/// Position in a group of interchangeable engines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupPosition {
    pub(crate) group: usize,
    pub(crate) index: usize,
}

/// Last outcome of this node's calls at an engine.
#[derive(Debug, Clone, Copy)]
struct LastOutcome {
    at: Timestamp,
    consecutive_failures: u32,
}

/// How long an engine that left the directory may be used if there is no other.
const LAST_RESORT_TIME: Duration = Duration::from_millis(1200);
/// How long the last outcome is reported to peers.
const OUTCOME_VALIDITY: Duration = Duration::from_secs(2);

impl Engine {
    pub(crate) fn new(spec: EngineSpec, circuit_breaker: CircuitBreakerSettings, now: Timestamp) -> Self {
        let mut cold_state = ColdState::default();
        cold_state.record_report(spec.warmup_left, now);
        Self {
            cold_state,
            key: engine_key(&spec.id.incarnation_text()),
            running: 0,
            unread_tokens: 0,
            circuit_breaker: CircuitBreaker::new(circuit_breaker),
            unusable_since: spec.is_draining.then_some(now),
            leaving_since: spec.is_draining.then_some(now),
            is_listed: true,
            is_withdrawn: false,
            slowness: Slowness::nominal(now),
            last_outcome: None,
            ejection: None,
            peer_load: PeerLoad::default(),
            group_position: None,
            spec,
        }
    }

    /// Whether the engine has no state that distinguishes it from others of its service and zone.
    pub(crate) fn is_interchangeable(&self, now: Timestamp) -> bool {
        let is_idle = self.running == 0 && self.unread_tokens == 0 && self.peer_load == PeerLoad::default();
        let is_usable = self.unusable_since.is_none() && !self.is_withdrawn && !self.cold_state.is_cold(now);
        let is_healthy = self.circuit_breaker.is_settled(now) && self.recent_failures(now).is_none();
        let is_ejection_settled = self.ejection.as_ref().is_none_or(|ejection| ejection.is_settled(now));
        is_idle && is_usable && is_healthy && is_ejection_settled && self.slowness.is_nominal(now)
    }

    /// Whether the engine accepts new work.
    pub(crate) fn is_usable(&self, now: Timestamp) -> bool {
        self.unusable_since.is_none_or(|since| since > now)
    }

    pub(crate) fn is_healthy(&self, now: Timestamp) -> bool {
        self.circuit_breaker.allowed(self.spec.slots, now) > 0
    }

    /// Records the outcome of one of this node's calls.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome, now: Timestamp) {
        self.running = self.running.saturating_sub(1);
        match outcome {
            Outcome::Sound => self.circuit_breaker.succeeded(now),
            Outcome::Busy => return,
            Outcome::Faulty | Outcome::Unreachable => self.circuit_breaker.failed(now),
        }
        self.ejection.get_or_insert_default().recent.record(outcome != Outcome::Sound, now);
        let previous = self.last_outcome.map_or(0, |last| last.consecutive_failures);
        let consecutive_failures = if outcome == Outcome::Sound { 0 } else { previous + 1 };
        self.last_outcome = Some(LastOutcome { at: now, consecutive_failures });
    }

    /// Consecutive failures of this node's last calls; `None` if none ended recently.
    pub(crate) fn recent_failures(&self, now: Timestamp) -> Option<u32> {
        let last = self.last_outcome.filter(|last| now.since(last.at) < OUTCOME_VALIDITY)?;
        Some(last.consecutive_failures)
    }

    /// Records that some node has a call in flight at the engine.
    pub(crate) fn record_use(&mut self, now: Timestamp) {
        self.ejection.get_or_insert_default().used_at = Some(now);
    }

    /// This node's calls that ended recently.
    pub(crate) fn recent_calls(&self, now: Timestamp) -> CallCounts {
        self.ejection.as_ref().map_or(CallCounts::default(), |ejection| ejection.recent.counts(now))
    }

    /// How many times longer than usual for its service the engine takes.
    pub(crate) fn slowness(&self, now: Timestamp) -> f64 {
        self.slowness.value_at(now)
    }

    /// Updates the slowness from one call; `noise` is the variance from call to call.
    pub(crate) fn observe_slowness(&mut self, seen: f64, noise: f64, now: Timestamp) {
        self.slowness.observe(seen, noise, now);
    }

    /// Stops new work from `at` on, as the engine will end, until a newer directory entry allows it; returns whether the
    /// engine was usable.
    pub(crate) fn retire(&mut self, at: Timestamp) -> bool {
        self.leaving_since = Some(self.leaving_since.map_or(at, |since| since.min(at)));
        self.stop_new_work(at)
    }

    /// Retires the engine because its directory entry was removed.
    pub(crate) fn unlist(&mut self, at: Timestamp) -> bool {
        self.is_listed = false;
        self.retire(at)
    }

    fn stop_new_work(&mut self, at: Timestamp) -> bool {
        let was_usable = self.is_usable(at);
        self.unusable_since = Some(self.unusable_since.map_or(at, |since| since.min(at)));
        was_usable
    }

    /// Stops new work, also as a last resort, until a newer directory entry allows it; returns whether the engine was usable.
    pub(crate) fn withdraw(&mut self, now: Timestamp) -> bool {
        self.is_withdrawn = true;
        self.stop_new_work(now)
    }

    /// Whether the engine may be used if there is no other: it accepts new work, or left only recently.
    pub(crate) fn is_last_resort(&self, now: Timestamp) -> bool {
        let left_recently = self.unusable_since.is_none_or(|since| now.since(since) < LAST_RESORT_TIME);
        left_recently && !self.is_withdrawn
    }

    /// Ends this incarnation because a newer one was seen.
    pub(crate) fn supersede(&mut self, now: Timestamp) {
        self.withdraw(now);
        self.spec.is_draining = false;
    }

    /// Applies a newer directory entry; returns whether availability changed.
    pub(crate) fn update(&mut self, spec: EngineSpec, now: Timestamp) -> bool {
        let is_stale = spec.report < self.spec.report;
        let rejoins = self.spec.is_draining && !spec.is_draining;
        if is_stale || rejoins {
            // Ignores reordered reports; an engine that drains never rejoins within the same incarnation.
            return false;
        }
        self.is_withdrawn = false;
        self.is_listed = true;
        let draining_since = spec.is_draining.then_some(now);
        let has_changed = self.spec.is_draining != spec.is_draining
            || (self.unusable_since.is_some() && draining_since.is_none());
        self.unusable_since = match (self.unusable_since, draining_since) {
            (Some(since), Some(_)) => Some(since),
            (_, draining_since) => draining_since,
        };
        self.leaving_since = draining_since.map(|since| self.leaving_since.unwrap_or(since));
        if spec.report > self.spec.report {
            self.cold_state.record_report(spec.warmup_left, now);
        }
        self.spec = spec;
        has_changed
    }
}

//! Eligibility of engines: excludes evacuated zones, regions where the call is not allowed, and cold engines without
//! a permit.

use std::collections::HashMap;
use std::sync::Arc;

use sumacdrift_calls::EngineId;
use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{Mechanism, Timestamp};

use super::EngineRegistry;
use crate::choice::PlacementRequest;
use crate::cold::{ColdLimit, Permit};
use crate::engine::Engine;
use crate::evacuation::{Evacuation, EvacuationChange};

impl EngineRegistry {
    /// Applies the begin of a zone's evacuation; returns the change, if any.
    pub fn begin_evacuation(&mut self, evacuation: Evacuation, now: Timestamp) -> Option<EvacuationChange> {
        self.evacuations.begin(evacuation, now)
    }

    /// Applies the end of a zone's evacuation; returns the change, if any.
    pub fn end_evacuation(&mut self, zone: &str, revision: u64, now: Timestamp) -> Option<EvacuationChange> {
        let change = self.evacuations.end(zone, revision, now);
        if change.is_some() {
            self.assume_cold(zone, now);
        }
        change
    }

    /// Applies the complete list of evacuations at a revision of the directory; returns the changes.
    pub fn set_evacuations(
        &mut self,
        all: Vec<Evacuation>,
        revision: u64,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        let changes = self.evacuations.replace_all(all, revision, now);
        for ended in changes.iter().filter(|change| !change.is_evacuated) {
            self.assume_cold(&ended.zone, now);
        }
        changes
    }

    /// Assumes that a zone's engines are cold: they may have become so without having reported it yet.
    fn assume_cold(&mut self, zone: &str, now: Timestamp) {
        let cold_limits = &self.cold_limits;
        let limit_of =
            |engine: &Engine| cold_limits.get(&engine.spec.service).filter(|_| *engine.spec.zone == *zone);
        let ids = self.engines.ids();
        let cold = ids.filter_map(|id| Some((id.clone(), limit_of(self.engines.get(id)?)?.warmup)));
        for (id, warmup) in cold.collect::<Vec<_>>() {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.cold_state.infer(warmup, now);
            }
        }
    }

    /// Sets the limits of cold engines by service; a service without an entry has none.
    pub fn set_cold_limits(&mut self, limits: HashMap<Arc<str>, ColdLimit>) {
        self.cold_limits = limits;
    }

    /// The limit of an engine if it is cold now; `None` if it takes full load.
    pub fn cold_limit(&self, id: &EngineId, now: Timestamp) -> Option<ColdLimit> {
        let engine = self.engines.get(id)?;
        let limit = self.cold_limits.get(&engine.spec.service)?;
        engine.cold_state.is_cold(now).then_some(*limit)
    }

    /// Number of cold engines of services with a limit.
    pub fn cold_engines(&self, now: Timestamp) -> usize {
        self.engines.distinct().filter(|engine| self.is_cold(engine, now)).count()
    }

    /// Records that no further permit for an engine is granted to this node before `until`.
    pub fn record_permit_denial(&mut self, id: &EngineId, until: Timestamp) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.cold_state.record_denial(until);
        }
    }

    /// Earliest time to request a permit again for any engine that is excluded only because it is cold.
    pub fn next_permit_at(&self, request: &PlacementRequest<'_>, now: Timestamp) -> Option<Timestamp> {
        let permitted = self.engines.distinct().filter(|engine| request.permits(&engine.spec));
        let could_serve =
            permitted.filter(|engine| self.is_allowed(engine, request) && engine.is_usable(now));
        could_serve.filter_map(|engine| engine.cold_state.next_permit_at(now)).min()
    }

    /// Whether the engine is in the call's allowed regions and not in an evacuated zone. Never relaxed, not even for
    /// the last engine left.
    pub(super) fn is_allowed(&self, engine: &Engine, request: &PlacementRequest<'_>) -> bool {
        let zone = &engine.spec.zone;
        let region = self.distances.location().topology.region_of(zone);
        let is_in_region = request.regions.allow(region) || is_broken(Rule::CallsStayInAllowedRegions);
        is_in_region && !self.is_evacuated(zone)
    }

    fn is_cold(&self, engine: &Engine, now: Timestamp) -> bool {
        self.cold_limits.contains_key(&engine.spec.service) && engine.cold_state.is_cold(now)
    }

    /// Whether the engine is warm, or a permit for it may be requested.
    pub(super) fn is_available(&self, engine: &Engine, now: Timestamp) -> bool {
        if !self.is_cold(engine, now) {
            return true;
        }
        self.disabled.is_enabled(Mechanism::ColdPermits) && engine.cold_state.next_permit_at(now).is_none()
    }

    /// Number of evacuated zones.
    pub fn evacuated_zones(&self) -> usize {
        self.evacuations.len()
    }

    /// Whether an engine may get a call now; a cold engine requires a valid permit. Must be checked right before
    /// sending, as state may have changed since the choice, while a connection was set up.
    pub fn may_send(&self, id: &EngineId, permit: Option<Permit>, now: Timestamp) -> bool {
        let Some(engine) = self.engines.get(id) else { return true };
        let is_permitted = permit.is_some_and(|permit| permit.is_valid(now));
        let needs_permit = self.is_cold(engine, now) && !is_broken(Rule::ColdEnginesNeedPermits);
        !self.is_evacuated(&engine.spec.zone) && (is_permitted || !needs_permit)
    }

    pub(super) fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.is_evacuated(zone) && !is_broken(Rule::EvacuatedZonesGetNoCalls)
    }
}

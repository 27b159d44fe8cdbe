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
use crate::evacuation::{EndedEvacuation, Evacuation, EvacuationChange};

impl EngineRegistry {
    /// Applies the begin of a zone's evacuation; returns the change, if any.
    pub fn begin_evacuation(&mut self, evacuation: Evacuation, now: Timestamp) -> Option<EvacuationChange> {
        self.evacuations.begin(evacuation, now)
    }

    /// Applies the end of a zone's evacuation; returns the change, if any.
    pub fn end_evacuation(&mut self, zone: &str, revision: u64, now: Timestamp) -> Option<EvacuationChange> {
        let change = self.evacuations.end(zone, revision, now);
        self.assume_cold_after(change.as_ref());
        change
    }

    /// Applies a past end of a zone's evacuation, which this node may not have known of; returns the change, if any.
    pub fn apply_ended_evacuation(
        &mut self,
        ended: EndedEvacuation,
        now: Timestamp,
    ) -> Option<EvacuationChange> {
        let change = self.evacuations.apply_ended(ended, now);
        self.assume_cold_after(change.as_ref());
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
        changes.iter().for_each(|change| self.assume_cold_after(Some(change)));
        changes
    }

    fn assume_cold_after(&mut self, change: Option<&EvacuationChange>) {
        if let Some(ended) = change.filter(|change| !change.is_evacuated) {
            self.assume_zone_cold(&ended.zone);
        }
    }

    /// Assumes that a zone's engines are cold since its evacuation ended: they may have become so without having
    /// reported it yet.
    fn assume_zone_cold(&mut self, zone: &str) {
        let is_in_zone =
            |id: &&EngineId| self.engines.get(id).is_some_and(|engine| *engine.spec.zone == *zone);
        let ids: Vec<EngineId> = self.engines.ids().filter(is_in_zone).cloned().collect();
        ids.iter().for_each(|id| self.assume_cold(id));
    }

    /// Assumes that an engine is cold if the last evacuation of its zone has just ended.
    pub(super) fn assume_cold(&mut self, id: &EngineId) {
        let Some(engine) = self.engines.get(id) else { return };
        let Some(end) = self.evacuations.last_end(&engine.spec.zone) else { return };
        let Some(limit) = self.cold_limits.get(&engine.spec.service) else { return };
        let until = end.cold_until(limit.warmup);
        if let Some(engine) = self.engines.get_mut(id) {
            engine.cold_state.infer(until);
        }
    }

    /// Sets the limits of cold engines by service; a service without an entry has none.
    pub fn set_cold_limits(&mut self, limits: HashMap<Arc<str>, ColdLimit>) {
        if limits == self.cold_limits {
            return;
        }
        self.cold_limits = limits;
        let zones: Vec<Arc<str>> = self.evacuations.ended_zones().cloned().collect();
        zones.iter().for_each(|zone| self.assume_zone_cold(zone));
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

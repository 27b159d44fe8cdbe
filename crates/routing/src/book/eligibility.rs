//! Which engines may get a call at all: not those of evacuated zones or of regions that the call may not go to, and cold ones
//! only by a permit.

use std::collections::HashMap;
use std::sync::Arc;

use sumacdrift_calls::EngineId;
use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{Mechanism, Timestamp};

use super::EngineBook;
use crate::choice::PlacementRequest;
use crate::cold::{ColdLimit, Permit};
use crate::engine::Engine;
use crate::evacuation::{Evacuation, EvacuationChange};

impl EngineBook {
    /// Engines of a zone get nothing new from now on; returns the change if it is news.
    pub fn evacuate(&mut self, evacuation: Evacuation, now: Timestamp) -> Option<EvacuationChange> {
        self.evacuations.begin(evacuation, now)
    }

    /// An evacuation was taken back; returns the change if it is news.
    pub fn end_evacuation(&mut self, zone: &str, revision: u64, now: Timestamp) -> Option<EvacuationChange> {
        let change = self.evacuations.end(zone, revision, now);
        if change.is_some() {
            self.expect_cold(zone, now);
        }
        change
    }

    /// Makes all evacuations known that there were at a revision of the directory; returns what changed.
    pub fn set_evacuations(
        &mut self,
        all: Vec<Evacuation>,
        known_to: u64,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        let changes = self.evacuations.replace_all(all, known_to, now);
        for ended in changes.iter().filter(|change| !change.is_evacuated) {
            self.expect_cold(&ended.zone, now);
        }
        changes
    }

    /// The engines of a zone may have turned cold a moment ago, before they could tell.
    fn expect_cold(&mut self, zone: &str, now: Timestamp) {
        let cold_limits = &self.cold_limits;
        let limit_of =
            |engine: &Engine| cold_limits.get(&engine.spec.service).filter(|_| *engine.spec.zone == *zone);
        let ids = self.engines.ids();
        let cold = ids.filter_map(|id| Some((id.clone(), limit_of(self.engines.get(id)?)?.lasts)));
        for (id, lasts) in cold.collect::<Vec<_>>() {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.coldness.infer(lasts, now);
            }
        }
    }

    /// What engines take while they are cold, of each service where that is less than usual.
    pub fn set_cold_limits(&mut self, limits: HashMap<Arc<str>, ColdLimit>) {
        self.cold_limits = limits;
    }

    /// What an engine takes if it is cold now; `None` where it takes as much as ever.
    pub fn cold_limit(&self, id: &EngineId, now: Timestamp) -> Option<ColdLimit> {
        let engine = self.engines.get(id)?;
        let limit = self.cold_limits.get(&engine.spec.service)?;
        engine.coldness.is_cold(now).then_some(*limit)
    }

    /// Number of engines that are cold and belong to a service where that matters.
    pub fn cold_engines(&self, now: Timestamp) -> usize {
        self.engines.noted().filter(|engine| self.is_cold(engine, now)).count()
    }

    /// No further call of this node to a cold engine was permitted until a time.
    pub fn cold_refused(&mut self, id: &EngineId, until: Timestamp) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.coldness.refused(until);
        }
    }

    /// When a permit may be asked for again for any engine of a service that could be chosen but for its coldness.
    pub fn cold_again_at(&self, request: &PlacementRequest<'_>, now: Timestamp) -> Option<Timestamp> {
        let of_service = self.engines.noted().filter(|engine| &*engine.spec.service == request.service);
        let could_serve = of_service.filter(|engine| {
            self.is_allowed(engine, request)
                && engine.is_usable(now)
                && !request.avoid.contains(&engine.spec.id)
                && request.only.is_none_or(|only| engine.spec.id == *only)
        });
        could_serve.filter_map(|engine| engine.coldness.closed_until(now)).min()
    }

    /// Whether calls that are served in certain regions may go to an engine, by where it stands. Nothing makes up for that:
    /// not even the last engine left is chosen elsewhere.
    pub(super) fn is_allowed(&self, engine: &Engine, request: &PlacementRequest<'_>) -> bool {
        let zone = &engine.spec.zone;
        let region = self.distances.location().places.region_of(zone);
        let is_in_region = request.regions.allow(region) || is_broken(Rule::WorkStaysInItsRegions);
        is_in_region && !self.is_evacuated(zone)
    }

    fn is_cold(&self, engine: &Engine, now: Timestamp) -> bool {
        self.cold_limits.contains_key(&engine.spec.service) && engine.coldness.is_cold(now)
    }

    /// Whether this node may ask for an engine at all: not while it is cold and its permits are used up.
    pub(super) fn is_open(&self, engine: &Engine, now: Timestamp) -> bool {
        if !self.is_cold(engine, now) {
            return true;
        }
        self.off.allows(Mechanism::ColdPermits) && engine.coldness.closed_until(now).is_none()
    }

    /// Number of zones that are evacuated.
    pub fn evacuated_zones(&self) -> usize {
        self.evacuations.len()
    }

    /// Whether an engine may get a call at this moment: to be asked right before a call is sent, as what was known when
    /// the engine was chosen may have changed while a connection was set up. A cold engine needs a permit.
    pub fn may_send(&self, id: &EngineId, permit: Option<Permit>, now: Timestamp) -> bool {
        let Some(engine) = self.engines.get(id) else { return true };
        let is_permitted = permit.is_some_and(|permit| permit.is_valid(now));
        let needs_permit = self.is_cold(engine, now) && !is_broken(Rule::ColdEnginesNeedPermits);
        !self.is_evacuated(&engine.spec.zone) && (is_permitted || !needs_permit)
    }

    pub(super) fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.is_evacuated(zone) && !is_broken(Rule::EvacuatedZonesGetNothing)
    }
}

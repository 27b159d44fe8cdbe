//! Directory entries and incarnations of engines.
//!
//! An incarnation is identified by the engine's name and start time. The one started later is the running one,
//! whatever their report numbers; within one incarnation the report of the higher number is newer.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_fleet_view::engine_key;
use sumacdrift_types::Timestamp;

use crate::engine::{Engine, EngineSpec};
use crate::registry::EngineRegistry;

/// Shorter outages of the directory give no grace period to engines that are missing.
const MIN_OUTAGE: Duration = Duration::from_secs(1);
/// Time for engines to report again after an outage of the directory.
const REPORT_GRACE: Duration = Duration::from_millis(1700);

/// Effect of a directory entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// Neither presence nor availability changed.
    Unchanged,
    /// Presence or availability of the engine changed.
    Changed,
    /// A known engine restarted; state of its earlier incarnation does not apply.
    Restarted,
    /// An earlier incarnation than the known one is draining.
    EarlierIncarnationDraining,
}

/// What the directory says of an engine process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnginePresence {
    /// It has an entry.
    Listed,
    /// It has none any more, and has not said that it drains.
    Missing,
    /// Another process has its name or its address.
    Replaced,
}

impl EngineRegistry {
    /// What the directory says of an engine process.
    pub fn presence(&self, id: &EngineId, now: Timestamp) -> EnginePresence {
        let Some(engine) = self.engines.get(id) else { return EnginePresence::Missing };
        let is_successor = |other: &EngineId| {
            let Some(other) = self.engines.get(other).filter(|other| other.spec.id != *id) else {
                return false;
            };
            let is_later = other.spec.id.is_same_engine(id) && other.spec.id.start() > id.start();
            is_later || (other.is_usable(now) && other.spec.address == engine.spec.address)
        };
        if self.engines.ids().any(is_successor) {
            EnginePresence::Replaced
        } else if engine.is_usable(now) || engine.spec.is_draining {
            EnginePresence::Listed
        } else {
            EnginePresence::Missing
        }
    }

    /// When it was learned that an engine will end, as its entry said that it drains or was removed; `None` if it is not
    /// known to, or is unknown.
    pub fn leaving_since(&self, id: &EngineId) -> Option<Timestamp> {
        self.engines.get(id)?.leaving_since
    }

    /// The engine with this name among all incarnations, see [`EngineId::incarnation_text`], and its address.
    pub fn find_incarnation(&self, name: &str) -> Option<(EngineId, SocketAddr)> {
        let id = self.engines.id_of(engine_key(name))?;
        let spec = &self.engines.get(id)?.spec;
        (id.incarnation_text() == name).then(|| (id.clone(), spec.address))
    }

    /// Applies an engine's directory entry.
    pub fn upsert(&mut self, mut spec: EngineSpec, now: Timestamp) -> EntryChange {
        self.names.intern(&mut spec.service);
        self.names.intern(&mut spec.version.0);
        self.names.intern(&mut spec.zone);
        let Some(known) = self.engines.incarnations(&spec.id).max().cloned() else {
            self.insert(spec, now);
            return EntryChange::Changed;
        };
        if self
            .engines
            .get(&spec.id)
            .is_some_and(|engine| engine.group_position.is_some() && engine.spec == spec)
        {
            return EntryChange::Unchanged;
        }
        if spec.id.start() < known.start() {
            return self.apply_earlier_incarnation(&spec, &known, now);
        }
        if let Some(engine) = self.engines.get_mut(&spec.id) {
            self.former_versions.record_change(&engine.spec, &spec, now);
            let has_changed = engine.update(spec, now);
            return if has_changed { EntryChange::Changed } else { EntryChange::Unchanged };
        }
        self.for_each_incarnation(&spec.id, |earlier| earlier.supersede(now));
        self.insert(spec, now);
        EntryChange::Restarted
    }

    fn insert(&mut self, spec: EngineSpec, now: Timestamp) {
        let id = spec.id.clone();
        self.engines.insert(Engine::new(spec, self.circuit_breaker, now));
        self.assume_cold(&id);
    }

    /// An earlier incarnation never replaces a later one. If it is draining, the engine gets no new work until the
    /// later one reports again: the clock may have stepped back between the two.
    fn apply_earlier_incarnation(
        &mut self,
        spec: &EngineSpec,
        known: &EngineId,
        now: Timestamp,
    ) -> EntryChange {
        let is_draining = spec.is_draining || !spec.id.start().is_known();
        let engine = self.engines.get_mut(known).filter(|_| is_draining);
        match engine.map(|engine| engine.retire(now)) {
            Some(true) => EntryChange::EarlierIncarnationDraining,
            Some(false) | None => EntryChange::Unchanged,
        }
    }

    /// Handles the removal of an engine's directory entry, whatever its incarnation; returns whether a usable engine
    /// was affected.
    pub fn remove(&mut self, id: &EngineId, now: Timestamp) -> bool {
        let mut has_changed = false;
        self.for_each_incarnation(id, |engine| has_changed |= engine.unlist(now));
        has_changed
    }

    /// Stops new work for an engine whose directory entry can't be parsed, even as a last resort, until a valid one
    /// arrives; returns whether a usable engine was affected.
    pub fn withdraw(&mut self, id: &EngineId, now: Timestamp) -> bool {
        let mut has_changed = false;
        self.for_each_incarnation(id, |engine| has_changed |= engine.withdraw(now));
        has_changed
    }

    /// Applies a complete listing of the directory; engines that are missing from it are retired.
    ///
    /// After an outage, engines may be missing because they could not report. They stay usable for a grace period.
    pub fn replace_all(&mut self, specs: Vec<EngineSpec>, outage: Duration, now: Timestamp) {
        let grace = if outage >= MIN_OUTAGE { REPORT_GRACE } else { Duration::ZERO };
        let listed: HashSet<&str> = specs.iter().map(|spec| spec.id.as_str()).collect();
        let missing = self.engines.ids().filter(|id| !listed.contains(id.as_str()));
        for id in missing.cloned().collect::<Vec<_>>() {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.unlist(now + grace);
            }
        }
        for spec in specs {
            self.upsert(spec, now);
        }
    }

    fn for_each_incarnation(&mut self, id: &EngineId, mut change: impl FnMut(&mut Engine)) {
        for incarnation in self.engines.incarnations(id).cloned().collect::<Vec<_>>() {
            if let Some(engine) = self.engines.get_mut(&incarnation) {
                change(engine);
            }
        }
    }
}

//! Table of all engines, split into those with state of their own and groups of interchangeable ones. A fleet has
//! thousands of engines of which a node uses dozens at a time, so a choice must not evaluate all of them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use sumacdrift_calls::{EngineId, EngineVersion};

use crate::choice::rendezvous_hash;
use crate::engine::{Engine, GroupPosition};

/// Candidates per group: the best one, and the runner-up for the log.
const PREFERRED_PER_GROUP: usize = 2;

/// Engines of one service, version, zone and number of slots without state of their own.
#[derive(Debug)]
struct EngineGroup {
    service: Arc<str>,
    version: EngineVersion,
    zone: Arc<str>,
    slots: usize,
    /// Engine keys; apart from the ids, so that scanning them is fast.
    keys: Vec<u32>,
    ids: Vec<EngineId>,
}

impl EngineGroup {
    fn accepts(&self, engine: &Engine) -> bool {
        let spec = &engine.spec;
        let is_same_kind = self.service == spec.service && self.version == spec.version;
        is_same_kind && self.zone == spec.zone && self.slots == spec.slots
    }

    /// Indexes of the engines that rank best for a call's key, the best first.
    fn preferred(&self, call: u64, excluded: &[u32]) -> [Option<usize>; PREFERRED_PER_GROUP] {
        let mut best = [(u64::MAX, None); PREFERRED_PER_GROUP];
        for (index, key) in self.keys.iter().enumerate() {
            let weight = rendezvous_hash(call, *key);
            if weight < best[1].0 && !excluded.contains(key) {
                best[1] = (weight, Some(index));
                if best[1].0 < best[0].0 {
                    best.swap(0, 1);
                }
            }
        }
        best.map(|(_, index)| index)
    }
}

#[derive(Debug, Default)]
pub(crate) struct EngineTable {
    distinct: Engines,
    interchangeable: Engines,
    groups: Vec<EngineGroup>,
    by_key: HashMap<u32, EngineId>,
}

/// Boxed because B-tree nodes are almost half empty.
type Engines = BTreeMap<EngineId, Box<Engine>>;

impl EngineTable {
    pub(crate) fn len(&self) -> usize {
        self.distinct.len() + self.interchangeable.len()
    }

    pub(crate) fn get(&self, id: &EngineId) -> Option<&Engine> {
        self.distinct.get(id).or_else(|| self.interchangeable.get(id)).map(Box::as_ref)
    }

    /// Moves an interchangeable engine to those with state of their own, as the caller may change it.
    pub(crate) fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        if let Some((id, mut engine)) = self.interchangeable.remove_entry(id) {
            if let Some(position) = engine.group_position.take() {
                self.remove_from_group(position);
            }
            self.distinct.insert(id, engine);
        }
        self.distinct.get_mut(id).map(Box::as_mut)
    }

    pub(crate) fn id_of(&self, key: u32) -> Option<&EngineId> {
        self.by_key.get(&key)
    }

    pub(crate) fn insert(&mut self, engine: Engine) {
        let id = engine.spec.id.clone();
        self.by_key.insert(engine.key, id.clone());
        self.distinct.insert(id, Box::new(engine));
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = &EngineId> {
        self.distinct.keys().chain(self.interchangeable.keys())
    }

    /// All known incarnations of an engine.
    pub(crate) fn incarnations(&self, id: &EngineId) -> impl Iterator<Item = &EngineId> {
        incarnations_in(&self.distinct, id).chain(incarnations_in(&self.interchangeable, id))
    }

    /// Engines with state of their own.
    pub(crate) fn distinct(&self) -> impl Iterator<Item = &Engine> {
        self.distinct.values().map(Box::as_ref)
    }

    /// Number of a service's interchangeable engines.
    pub(crate) fn interchangeable(&self, service: &str) -> usize {
        self.groups_of(service).map(|group| group.ids.len()).sum()
    }

    /// Software versions of a service's interchangeable engines; a version may be listed several times.
    pub(crate) fn interchangeable_versions(&self, service: &str) -> impl Iterator<Item = &EngineVersion> {
        self.groups_of(service).filter(|group| !group.ids.is_empty()).map(|group| &group.version)
    }

    /// Slots of a service's interchangeable engines in the zones that match.
    pub(crate) fn interchangeable_slots(&self, service: &str, matches_zone: impl Fn(&str) -> bool) -> usize {
        let groups = self.groups_of(service).filter(|group| matches_zone(&group.zone));
        groups.map(|group| group.ids.len() * group.slots).sum()
    }

    /// The best interchangeable engines of a service for a call's key, from each group, without excluded ones.
    pub(crate) fn preferred(
        &self,
        service: &str,
        call: u64,
        excluded: &[u32],
    ) -> impl Iterator<Item = &Engine> {
        let indexes = move |group: &EngineGroup| group.preferred(call, excluded);
        self.groups_of(service).flat_map(move |group| {
            let indexes = indexes(group).into_iter().flatten();
            indexes.filter_map(|index| self.interchangeable.get(&group.ids[index]).map(Box::as_ref))
        })
    }

    fn groups_of(&self, service: &str) -> impl Iterator<Item = &EngineGroup> {
        self.groups.iter().filter(move |group| &*group.service == service)
    }

    /// Moves engines that match into groups of interchangeable ones.
    pub(crate) fn regroup(&mut self, matches: impl Fn(&Engine) -> bool) {
        let regrouped: Vec<EngineId> =
            self.distinct().filter(|engine| matches(engine)).map(|engine| engine.spec.id.clone()).collect();
        for id in regrouped {
            if let Some(engine) = self.distinct.remove(&id) {
                self.add_to_group(id, engine);
            }
        }
    }

    /// Removes matching engines that have state of their own.
    pub(crate) fn remove_where(&mut self, matches: impl Fn(&Engine) -> bool) {
        let removed: Vec<(EngineId, u32)> = self
            .distinct()
            .filter(|engine| matches(engine))
            .map(|engine| (engine.spec.id.clone(), engine.key))
            .collect();
        for (id, key) in removed {
            self.distinct.remove(&id);
            if self.by_key.get(&key) == Some(&id) {
                self.by_key.remove(&key);
            }
        }
    }

    fn add_to_group(&mut self, id: EngineId, mut engine: Box<Engine>) {
        let group = self.groups.iter().position(|existing| existing.accepts(&engine)).unwrap_or_else(|| {
            self.groups.push(EngineGroup {
                service: Arc::clone(&engine.spec.service),
                version: engine.spec.version.clone(),
                zone: Arc::clone(&engine.spec.zone),
                slots: engine.spec.slots,
                keys: Vec::new(),
                ids: Vec::new(),
            });
            self.groups.len() - 1
        });
        let members = &mut self.groups[group];
        engine.ejection = None;
        engine.group_position = Some(GroupPosition { group, index: members.ids.len() });
        members.keys.push(engine.key);
        members.ids.push(id.clone());
        self.interchangeable.insert(id, engine);
    }

    /// Swap-removes an engine from its group and updates the position of the one moved.
    fn remove_from_group(&mut self, position: GroupPosition) {
        let group = &mut self.groups[position.group];
        group.keys.swap_remove(position.index);
        group.ids.swap_remove(position.index);
        if let Some(moved) = group.ids.get(position.index).and_then(|id| self.interchangeable.get_mut(id)) {
            moved.group_position = Some(position);
        }
    }
}

fn incarnations_in<'a>(engines: &'a Engines, id: &EngineId) -> impl Iterator<Item = &'a EngineId> {
    let incarnations = engines.range(EngineId::new(id.as_str())..);
    incarnations
        .map(|(incarnation, _)| incarnation)
        .take_while(move |incarnation| incarnation.is_same_engine(id))
}

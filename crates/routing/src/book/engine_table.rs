//! The engines of a book: those of which something is known that tells them from the others, and the rest, which are alike but for
//! their zone. A fleet has thousands of engines and a node works with some dozens at a time, so a choice must not weigh all of them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use sumacdrift_calls::EngineId;

use crate::choice::mixed;
use crate::engine::{AlikePlace, Engine};

/// Of engines that are alike, how many are weighed: the best one, and the next for the log.
const FAVOURITES: usize = 2;

/// Engines of a service and zone of which nothing else is known.
#[derive(Debug)]
struct AlikeEngines {
    service: Arc<str>,
    zone: Arc<str>,
    slots: usize,
    /// Short names, apart from the names so that looking through them is fast.
    keys: Vec<u32>,
    ids: Vec<EngineId>,
}

impl AlikeEngines {
    fn takes(&self, engine: &Engine) -> bool {
        let spec = &engine.spec;
        self.service == spec.service && self.zone == spec.zone && self.slots == spec.slots
    }

    /// Rows of the engines that a call of this number prefers, the best first.
    fn favourites(&self, call: u64, left_out: &[u32]) -> [Option<usize>; FAVOURITES] {
        let mut best = [(u64::MAX, None); FAVOURITES];
        for (row, key) in self.keys.iter().enumerate() {
            let weight = mixed(call, *key);
            if weight < best[1].0 && !left_out.contains(key) {
                best[1] = (weight, Some(row));
                if best[1].0 < best[0].0 {
                    best.swap(0, 1);
                }
            }
        }
        best.map(|(_, row)| row)
    }
}

/// All engines that are known.
#[derive(Debug, Default)]
pub(crate) struct EngineTable {
    noted: Engines,
    alike: Engines,
    alike_groups: Vec<AlikeEngines>,
    by_key: HashMap<u32, EngineId>,
}

/// Boxed, as a tree keeps almost half of its places empty.
type Engines = BTreeMap<EngineId, Box<Engine>>;

impl EngineTable {
    pub(crate) fn len(&self) -> usize {
        self.noted.len() + self.alike.len()
    }

    pub(crate) fn get(&self, id: &EngineId) -> Option<&Engine> {
        self.noted.get(id).or_else(|| self.alike.get(id)).map(Box::as_ref)
    }

    /// An engine about which something is learned: from now on it is one of those that differ.
    pub(crate) fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        if let Some((id, mut engine)) = self.alike.remove_entry(id) {
            if let Some(place) = engine.alike.take() {
                self.take_out(place);
            }
            self.noted.insert(id, engine);
        }
        self.noted.get_mut(id).map(Box::as_mut)
    }

    /// The engine of a short name.
    pub(crate) fn id_of(&self, key: u32) -> Option<&EngineId> {
        self.by_key.get(&key)
    }

    /// A new engine.
    pub(crate) fn insert(&mut self, engine: Engine) {
        let id = engine.spec.id.clone();
        self.by_key.insert(engine.key, id.clone());
        self.noted.insert(id, Box::new(engine));
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = &EngineId> {
        self.noted.keys().chain(self.alike.keys())
    }

    /// All lives of an engine that are known.
    pub(crate) fn lives(&self, id: &EngineId) -> impl Iterator<Item = &EngineId> {
        lives_in(&self.noted, id).chain(lives_in(&self.alike, id))
    }

    /// Engines of which something is known.
    pub(crate) fn noted(&self) -> impl Iterator<Item = &Engine> {
        self.noted.values().map(Box::as_ref)
    }

    /// Number of engines of a service of which nothing is known.
    pub(crate) fn alike(&self, service: &str) -> usize {
        self.alike_of(service).map(|alike| alike.ids.len()).sum()
    }

    /// Calls that engines of a service work on at once of which nothing is known, in zones of which something holds.
    pub(crate) fn alike_slots(&self, service: &str, holds: impl Fn(&str) -> bool) -> usize {
        let alike = self.alike_of(service).filter(|alike| holds(&alike.zone));
        alike.map(|alike| alike.ids.len() * alike.slots).sum()
    }

    /// Of the engines of a service of which nothing is known, those of each zone that a call of this number prefers, but for some.
    pub(crate) fn favourites(
        &self,
        service: &str,
        call: u64,
        left_out: &[u32],
    ) -> impl Iterator<Item = &Engine> {
        let rows = move |alike: &AlikeEngines| alike.favourites(call, left_out);
        self.alike_of(service).flat_map(move |alike| {
            let rows = rows(alike).into_iter().flatten();
            rows.filter_map(|row| self.alike.get(&alike.ids[row]).map(Box::as_ref))
        })
    }

    fn alike_of(&self, service: &str) -> impl Iterator<Item = &AlikeEngines> {
        self.alike_groups.iter().filter(move |alike| &*alike.service == service)
    }

    /// Counts engines among those that are alike again that fulfil a condition.
    pub(crate) fn settle(&mut self, is_alike: impl Fn(&Engine) -> bool) {
        let settled: Vec<EngineId> =
            self.noted().filter(|engine| is_alike(engine)).map(|engine| engine.spec.id.clone()).collect();
        for id in settled {
            if let Some(engine) = self.noted.remove(&id) {
                self.put_among_alike(id, engine);
            }
        }
    }

    /// Forgets engines, of those of which something is known.
    pub(crate) fn forget(&mut self, is_gone: impl Fn(&Engine) -> bool) {
        let gone: Vec<(EngineId, u32)> = self
            .noted()
            .filter(|engine| is_gone(engine))
            .map(|engine| (engine.spec.id.clone(), engine.key))
            .collect();
        for (id, key) in gone {
            self.noted.remove(&id);
            if self.by_key.get(&key) == Some(&id) {
                self.by_key.remove(&key);
            }
        }
    }

    fn put_among_alike(&mut self, id: EngineId, mut engine: Box<Engine>) {
        let group = self.alike_groups.iter().position(|alike| alike.takes(&engine)).unwrap_or_else(|| {
            self.alike_groups.push(AlikeEngines {
                service: Arc::clone(&engine.spec.service),
                zone: Arc::clone(&engine.spec.zone),
                slots: engine.spec.slots,
                keys: Vec::new(),
                ids: Vec::new(),
            });
            self.alike_groups.len() - 1
        });
        let alike = &mut self.alike_groups[group];
        engine.outlier = None;
        engine.alike = Some(AlikePlace { group, row: alike.ids.len() });
        alike.keys.push(engine.key);
        alike.ids.push(id.clone());
        self.alike.insert(id, engine);
    }

    /// Takes a row out; the last one takes its place.
    fn take_out(&mut self, place: AlikePlace) {
        let alike = &mut self.alike_groups[place.group];
        alike.keys.swap_remove(place.row);
        alike.ids.swap_remove(place.row);
        if let Some(moved) = alike.ids.get(place.row).and_then(|id| self.alike.get_mut(id)) {
            moved.alike = Some(place);
        }
    }
}

fn lives_in<'a>(engines: &'a Engines, id: &EngineId) -> impl Iterator<Item = &'a EngineId> {
    let lives = engines.range(EngineId::new(id.as_str())..);
    lives.map(|(life, _)| life).take_while(move |life| life.is_same_engine(id))
}

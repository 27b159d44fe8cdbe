//! Which engines there are, by the directory's entries, and which life of each.
//!
//! A life is known by the engine's name and its start. The younger of two lives is the one that runs, whatever either of
//! them counts its reports by; of one life the report of the higher number is the newer one.

use std::collections::HashSet;
use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_types::Timestamp;

use crate::book::EngineBook;
use crate::engine::{Engine, EngineSpec};

/// Outages of the directory shorter than this leave no engine out that is there.
const SHORTEST_OUTAGE: Duration = Duration::from_secs(1);
/// Time that engines take to report again after an outage of the directory.
const REPORT_AGAIN_TIME: Duration = Duration::from_millis(1700);

/// What an entry of the directory changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// Nothing.
    Nothing,
    /// Whether an engine is there, or takes new work.
    Changed,
    /// An engine that was known before runs anew and knows nothing of its earlier life.
    StartedAgain,
    /// It is of an earlier life than the one that is known, and says that the engine takes no new work.
    EarlierLifeLeaves,
}

impl EngineBook {
    /// Takes in an engine's entry in the directory.
    pub fn upsert(&mut self, mut spec: EngineSpec, now: Timestamp) -> EntryChange {
        self.names.share(&mut spec.service);
        self.names.share(&mut spec.zone);
        let Some(known) = self.youngest(&spec.id).cloned() else {
            self.insert(spec, now);
            return EntryChange::Changed;
        };
        if spec.id.start() < known.start() {
            return self.told_by_earlier_life(&spec, &known, now);
        }
        if let Some(engine) = self.engines.get_mut(&spec.id) {
            let has_changed = engine.update(spec, now);
            return if has_changed { EntryChange::Changed } else { EntryChange::Nothing };
        }
        self.lives(&spec.id).for_each(|earlier| earlier.superseded(now));
        self.insert(spec, now);
        EntryChange::StartedAgain
    }

    fn insert(&mut self, spec: EngineSpec, now: Timestamp) {
        let engine = Box::new(Engine::new(spec, self.health, now));
        self.engines.insert(engine.spec.id.clone(), engine);
    }

    /// An entry of an earlier life never replaces a younger one. Where it says that the engine leaves, the engine gets
    /// nothing new until the younger life reports again: clocks may have stepped back between the two.
    fn told_by_earlier_life(&mut self, spec: &EngineSpec, known: &EngineId, now: Timestamp) -> EntryChange {
        let leaves = spec.is_leaving || !spec.id.start().is_known();
        let engine = self.engines.get_mut(known).filter(|_| leaves);
        match engine.map(|engine| engine.retire(now)) {
            Some(true) => EntryChange::EarlierLifeLeaves,
            Some(false) | None => EntryChange::Nothing,
        }
    }

    /// The directory no longer has an engine, whichever life it was; returns whether that is news.
    pub fn remove(&mut self, id: &EngineId, now: Timestamp) -> bool {
        let retired = self.lives(id).filter_map(|engine| engine.retire(now).then_some(()));
        retired.count() > 0
    }

    /// The directory's entry of an engine can't be read: it gets nothing new, not even as the last resort, until one can
    /// be; returns whether that is news.
    pub fn withdraw(&mut self, id: &EngineId, now: Timestamp) -> bool {
        let withdrawn = self.lives(id).filter_map(|engine| engine.withdraw(now).then_some(()));
        withdrawn.count() > 0
    }

    /// Makes the whole directory known: engines that are not in it are gone.
    ///
    /// After an outage of the directory engines may be missing only because they could not report meanwhile. They
    /// stay in use for the time that an engine takes to report again.
    pub fn replace_all(&mut self, specs: Vec<EngineSpec>, outage: Duration, now: Timestamp) {
        let grace = if outage >= SHORTEST_OUTAGE { REPORT_AGAIN_TIME } else { Duration::ZERO };
        let listed: HashSet<&str> = specs.iter().map(|spec| spec.id.as_str()).collect();
        let missing = self.engines.values_mut().filter(|engine| !listed.contains(engine.spec.id.as_str()));
        for engine in missing {
            engine.retire(now + grace);
        }
        for spec in specs {
            self.upsert(spec, now);
        }
    }

    /// The youngest life of an engine that is known.
    fn youngest(&self, id: &EngineId) -> Option<&EngineId> {
        // Lives of one engine stand side by side, by their start.
        let lives = self.engines.range(EngineId::new(id.as_str())..);
        lives.map(|(life, _)| life).take_while(|life| life.is_same_engine(id)).last()
    }

    /// All lives of an engine that are known.
    fn lives(&mut self, id: &EngineId) -> impl Iterator<Item = &mut Engine> {
        let lives = self.engines.range_mut(EngineId::new(id.as_str())..);
        lives.take_while(|(life, _)| life.is_same_engine(id)).map(|(_, engine)| engine.as_mut())
    }
}

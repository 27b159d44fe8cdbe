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
        let Some(known) = self.engines.lives(&spec.id).max().cloned() else {
            self.insert(spec, now);
            return EntryChange::Changed;
        };
        if self.engines.get(&spec.id).is_some_and(|engine| engine.alike.is_some() && engine.spec == spec) {
            return EntryChange::Nothing;
        }
        if spec.id.start() < known.start() {
            return self.told_by_earlier_life(&spec, &known, now);
        }
        if let Some(engine) = self.engines.get_mut(&spec.id) {
            let has_changed = engine.update(spec, now);
            return if has_changed { EntryChange::Changed } else { EntryChange::Nothing };
        }
        self.change_lives(&spec.id, |earlier| earlier.superseded(now));
        self.insert(spec, now);
        EntryChange::StartedAgain
    }

    fn insert(&mut self, spec: EngineSpec, now: Timestamp) {
        self.engines.insert(Engine::new(spec, self.health, now));
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
        let mut is_news = false;
        self.change_lives(id, |engine| is_news |= engine.retire(now));
        is_news
    }

    /// The directory's entry of an engine can't be read: it gets nothing new, not even as the last resort, until one can
    /// be; returns whether that is news.
    pub fn withdraw(&mut self, id: &EngineId, now: Timestamp) -> bool {
        let mut is_news = false;
        self.change_lives(id, |engine| is_news |= engine.withdraw(now));
        is_news
    }

    /// Makes the whole directory known: engines that are not in it are gone.
    ///
    /// After an outage of the directory engines may be missing only because they could not report meanwhile. They
    /// stay in use for the time that an engine takes to report again.
    pub fn replace_all(&mut self, specs: Vec<EngineSpec>, outage: Duration, now: Timestamp) {
        let grace = if outage >= SHORTEST_OUTAGE { REPORT_AGAIN_TIME } else { Duration::ZERO };
        let listed: HashSet<&str> = specs.iter().map(|spec| spec.id.as_str()).collect();
        let missing = self.engines.ids().filter(|id| !listed.contains(id.as_str()));
        for id in missing.cloned().collect::<Vec<_>>() {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.retire(now + grace);
            }
        }
        for spec in specs {
            self.upsert(spec, now);
        }
    }

    /// Changes what is believed of all lives of an engine that are known.
    fn change_lives(&mut self, id: &EngineId, mut change: impl FnMut(&mut Engine)) {
        for life in self.engines.lives(id).cloned().collect::<Vec<_>>() {
            if let Some(engine) = self.engines.get_mut(&life) {
                change(engine);
            }
        }
    }
}

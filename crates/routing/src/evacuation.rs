//! Zones whose engines get nothing new until the operator says otherwise.
//!
//! An evacuation and its end carry the directory's revision. Of two reports the one of the higher revision counts, whoever
//! told it and whenever it arrives: a listing that is behind neither brings an evacuation back nor ends one early.

use std::collections::BTreeMap;
use std::sync::Arc;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

/// Zones that are remembered; of more than that, those whose evacuation is over are forgotten. Fleets have fewer.
const MOST_ZONES: usize = 1024;

/// An evacuation as the directory describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The zone.
    pub zone: Arc<str>,
    /// The directory's revision at which it was asked for.
    pub revision: u64,
}

/// What is known of a zone.
#[derive(Debug, Clone, Copy)]
struct ZoneState {
    /// Revision of the newest report.
    revision: u64,
    /// When it was heard of.
    heard: Timestamp,
    is_evacuated: bool,
}

/// A zone's evacuation began or ended, as far as this node knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The zone.
    pub zone: Arc<str>,
    /// Revision of the report that says so.
    pub revision: u64,
    /// Whether it is evacuated now.
    pub is_evacuated: bool,
    /// When the state before was heard of; `None` where nothing was known of the zone.
    pub before: Option<Timestamp>,
}

/// Which zones are evacuated.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    zones: BTreeMap<Arc<str>, ZoneState>,
    /// The highest revision at which all evacuations were listed: what was asked for before and is not known is over.
    listed_to: u64,
}

impl Evacuations {
    /// Whether engines of a zone get nothing new.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.is_evacuated)
    }

    /// Number of zones that are evacuated.
    pub(crate) fn len(&self) -> usize {
        self.zones.values().filter(|state| state.is_evacuated).count()
    }

    /// A zone was evacuated; returns the change if it is news.
    pub(crate) fn begin(&mut self, evacuation: Evacuation, now: Timestamp) -> Option<EvacuationChange> {
        let is_over = evacuation.revision <= self.listed_to && !self.is_evacuated(&evacuation.zone);
        if is_over && !is_broken(Rule::EvacuationRevisionsCount) {
            return None;
        }
        self.report(evacuation.zone, evacuation.revision, true, now)
    }

    /// An evacuation was taken back; returns the change if it is news.
    pub(crate) fn end(&mut self, zone: &str, revision: u64, now: Timestamp) -> Option<EvacuationChange> {
        self.report(Arc::from(zone), revision, false, now)
    }

    /// All evacuations there were at a revision; returns what changed.
    pub(crate) fn replace_all(
        &mut self,
        all: Vec<Evacuation>,
        known_to: u64,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        let named = |zone: &str| all.iter().any(|evacuation| *evacuation.zone == *zone);
        let over = self.zones.iter().filter(|(zone, state)| state.is_evacuated && !named(zone));
        let over: Vec<Arc<str>> = over.map(|(zone, _)| Arc::clone(zone)).collect();
        let ended = over.into_iter().filter_map(|zone| self.report(zone, known_to, false, now));
        let mut changes: Vec<EvacuationChange> = ended.collect();
        changes.extend(all.into_iter().filter_map(|evacuation| self.begin(evacuation, now)));
        self.listed_to = self.listed_to.max(known_to);
        changes
    }

    fn report(
        &mut self,
        zone: Arc<str>,
        revision: u64,
        is_evacuated: bool,
        now: Timestamp,
    ) -> Option<EvacuationChange> {
        let before = self.zones.get(&zone).copied();
        // An end may carry the revision of the evacuation itself; an evacuation that ended does not begin again by it.
        let is_old = before.is_some_and(|before| {
            revision < before.revision || (revision == before.revision && is_evacuated)
        });
        if is_old && !is_broken(Rule::EvacuationRevisionsCount) {
            return None;
        }
        if before.is_none() && self.zones.len() >= MOST_ZONES {
            self.zones.retain(|_, state| state.is_evacuated);
        }
        self.zones.insert(Arc::clone(&zone), ZoneState { revision, heard: now, is_evacuated });
        let was_evacuated = before.is_some_and(|before| before.is_evacuated);
        let change =
            EvacuationChange { zone, revision, is_evacuated, before: before.map(|before| before.heard) };
        (was_evacuated != is_evacuated).then_some(change)
    }
}

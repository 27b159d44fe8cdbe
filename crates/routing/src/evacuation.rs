//! Evacuated zones: their engines get no new work until the evacuation ends.
//!
//! Begin and end carry the directory's revision. The report of the highest revision wins, whatever its source and
//! order of arrival, so a stale listing neither restores an evacuation nor ends one early.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Timestamp;

/// Limit of remembered zones; beyond it, zones that are no longer evacuated are evicted.
const MAX_ZONES: usize = 1024;

/// An evacuation in the directory.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    pub zone: Arc<str>,
    /// The directory's revision at which it was requested.
    pub revision: u64,
}

/// A past end of an evacuation, which this node may learn of late: an edge that has just started gets it from a feed.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedEvacuation {
    pub zone: Arc<str>,
    /// The directory's revision at which it ended.
    pub revision: u64,
    /// Time since the end.
    pub age: Duration,
}

/// The last end of a zone's evacuation. It may precede the start of this node's clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EvacuationEnd {
    learned_at: Timestamp,
    age_when_learned: Duration,
}

impl EvacuationEnd {
    /// Until when an engine is cold that became so at the end.
    pub(crate) fn cold_until(self, warmup: Duration) -> Timestamp {
        self.learned_at + warmup.saturating_sub(self.age_when_learned)
    }

    /// Time since the end.
    fn age(self, now: Timestamp) -> Duration {
        now.since(self.learned_at) + self.age_when_learned
    }
}

#[derive(Debug, Clone, Copy)]
struct ZoneState {
    /// Revision of the newest report.
    revision: u64,
    received_at: Timestamp,
    is_evacuated: bool,
    /// Last known end; `None` if none was seen.
    ended: Option<EvacuationEnd>,
}

/// Report on a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ZoneReport {
    Begun,
    /// An evacuation that is known here ends now.
    Ends,
    /// An evacuation ended this long ago, whether it was known here or not.
    Ended(Duration),
}

/// Begin or end of a zone's evacuation, as seen by this node.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    pub zone: Arc<str>,
    /// Revision of the report that caused the change.
    pub revision: u64,
    pub is_evacuated: bool,
    /// When the previous state was received; `None` if the zone was unknown.
    pub before: Option<Timestamp>,
    /// Time since the end; `None` for a begin.
    pub ended_ago: Option<Duration>,
}

#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    zones: BTreeMap<Arc<str>, ZoneState>,
    /// Highest revision at which all evacuations were listed. An evacuation requested before it and not known here
    /// has ended.
    listed_revision: u64,
}

impl Evacuations {
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.is_evacuated)
    }

    /// Number of evacuated zones.
    pub(crate) fn len(&self) -> usize {
        self.zones.values().filter(|state| state.is_evacuated).count()
    }

    /// Applies the begin of an evacuation; returns the change, if any.
    pub(crate) fn begin(&mut self, evacuation: Evacuation, now: Timestamp) -> Option<EvacuationChange> {
        let is_ended = evacuation.revision <= self.listed_revision && !self.is_evacuated(&evacuation.zone);
        if is_ended && !is_broken(Rule::EvacuationRevisionsCount) {
            return None;
        }
        self.apply_report(evacuation.zone, evacuation.revision, ZoneReport::Begun, now)
    }

    /// Applies the end of an evacuation; returns the change, if any.
    pub(crate) fn end(&mut self, zone: &str, revision: u64, now: Timestamp) -> Option<EvacuationChange> {
        self.apply_report(Arc::from(zone), revision, ZoneReport::Ends, now)
    }

    /// Applies a past end of an evacuation; returns the change, if any.
    pub(crate) fn apply_ended(&mut self, ended: EndedEvacuation, now: Timestamp) -> Option<EvacuationChange> {
        self.apply_report(ended.zone, ended.revision, ZoneReport::Ended(ended.age), now)
    }

    /// The last end of a zone's evacuation; `None` if none was seen.
    pub(crate) fn last_end(&self, zone: &str) -> Option<EvacuationEnd> {
        self.zones.get(zone)?.ended
    }

    /// Zones of which an evacuation has ended.
    pub(crate) fn ended_zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.iter().filter(|(_, state)| state.ended.is_some()).map(|(zone, _)| zone)
    }

    /// Applies a complete listing at a revision; returns the changes.
    pub(crate) fn replace_all(
        &mut self,
        all: Vec<Evacuation>,
        revision: u64,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        let is_listed = |zone: &str| all.iter().any(|evacuation| *evacuation.zone == *zone);
        let unlisted = self.zones.iter().filter(|(zone, state)| state.is_evacuated && !is_listed(zone));
        let unlisted: Vec<Arc<str>> = unlisted.map(|(zone, _)| Arc::clone(zone)).collect();
        let ended =
            unlisted.into_iter().filter_map(|zone| self.apply_report(zone, revision, ZoneReport::Ends, now));
        let mut changes: Vec<EvacuationChange> = ended.collect();
        changes.extend(all.into_iter().filter_map(|evacuation| self.begin(evacuation, now)));
        self.listed_revision = self.listed_revision.max(revision);
        changes
    }

    fn apply_report(
        &mut self,
        zone: Arc<str>,
        revision: u64,
        report: ZoneReport,
        now: Timestamp,
    ) -> Option<EvacuationChange> {
        let before = self.zones.get(&zone).copied();
        let is_evacuated = report == ZoneReport::Begun;
        // An end may carry the revision of the evacuation itself, but a begin of an equal revision must not restore
        // it.
        let is_stale = before.is_some_and(|before| {
            revision < before.revision || (revision == before.revision && is_evacuated)
        });
        if is_stale && !is_broken(Rule::EvacuationRevisionsCount) {
            return None;
        }
        if before.is_none() && self.zones.len() >= MAX_ZONES {
            self.zones.retain(|_, state| state.is_evacuated);
        }
        let was_evacuated = before.is_some_and(|before| before.is_evacuated);
        let ended = newer_end(before.and_then(|before| before.ended), report, was_evacuated, now);
        let state = ZoneState { revision, received_at: now, is_evacuated, ended };
        self.zones.insert(Arc::clone(&zone), state);
        let is_unseen_end =
            matches!(report, ZoneReport::Ended(_)) && before.is_none_or(|before| before.revision < revision);
        let change = EvacuationChange {
            zone,
            revision,
            is_evacuated,
            before: before.map(|before| before.received_at),
            ended_ago: ended.filter(|_| !is_evacuated).map(|end| end.age(now)),
        };
        (was_evacuated != is_evacuated || is_unseen_end).then_some(change)
    }
}

/// The last end of a zone's evacuation after a report.
fn newer_end(
    known: Option<EvacuationEnd>,
    report: ZoneReport,
    was_evacuated: bool,
    now: Timestamp,
) -> Option<EvacuationEnd> {
    let age_when_learned = match report {
        ZoneReport::Ends if was_evacuated => Duration::ZERO,
        ZoneReport::Ended(age) => age,
        ZoneReport::Begun | ZoneReport::Ends => return known,
    };
    let reported = EvacuationEnd { learned_at: now, age_when_learned };
    match known {
        Some(known) if known.age(now) <= reported.age(now) => Some(known),
        _ => Some(reported),
    }
}

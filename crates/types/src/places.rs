//! Zones and regions: where machines stand, how near they are to each other, and in which regions work may be done.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use crate::ids::RegionName;

/// How near two machines are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Nearness {
    /// In one zone.
    Zone,
    /// In two zones of one region.
    Region,
    /// In two regions.
    Elsewhere,
}

/// Which region each zone belongs to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Places {
    regions: BTreeMap<Arc<str>, RegionName>,
}

impl Places {
    /// The regions of these zones.
    pub fn new(regions: impl IntoIterator<Item = (Arc<str>, RegionName)>) -> Self {
        Self { regions: regions.into_iter().collect() }
    }

    /// The region of a zone; `None` where nothing is known of it.
    pub fn region_of(&self, zone: &str) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// How near two zones are. Where no zone is known, all belong to one region.
    pub fn nearness(&self, one: &str, other: &str) -> Nearness {
        if one == other {
            return Nearness::Zone;
        }
        let are_in_one_region = self.regions.is_empty()
            || self.region_of(one).is_some_and(|region| self.region_of(other) == Some(region));
        if are_in_one_region { Nearness::Region } else { Nearness::Elsewhere }
    }
}

/// A machine's zone, and what is known of all zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// The zone.
    pub zone: Arc<str>,
    /// All zones.
    pub places: Arc<Places>,
}

impl Location {
    /// A machine in a zone of a fleet of one region.
    pub fn in_zone(zone: &str) -> Self {
        Self { zone: Arc::from(zone), places: Arc::default() }
    }

    /// How near a zone is.
    pub fn nearness(&self, zone: &str) -> Nearness {
        self.places.nearness(&self.zone, zone)
    }
}

/// The regions in which work may be done; all of them unless some are named.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions {
    named: Option<BTreeSet<RegionName>>,
}

impl AllowedRegions {
    /// Only these regions; all where none is named.
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let named: BTreeSet<RegionName> = regions.into_iter().collect();
        Self { named: (!named.is_empty()).then_some(named) }
    }

    /// The regions that both allow, which may be none.
    pub fn and(&self, other: &Self) -> Self {
        let named = match (&self.named, &other.named) {
            (Some(own), Some(others)) => Some(own.intersection(others).cloned().collect()),
            (own, others) => own.as_ref().or(others.as_ref()).cloned(),
        };
        Self { named }
    }

    /// Whether any region is as good as another.
    pub fn are_all(&self) -> bool {
        self.named.is_none()
    }

    /// Whether no region is left.
    pub fn is_empty(&self) -> bool {
        self.named.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Whether work may be done in a region; where it is not known, only work that may be done anywhere.
    pub fn allow(&self, region: Option<&RegionName>) -> bool {
        self.named.as_ref().is_none_or(|named| region.is_some_and(|region| named.contains(region)))
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(named) = &self.named else { return formatter.write_str("all") };
        let names: Vec<&str> = named.iter().map(RegionName::as_str).collect();
        formatter.write_str(&names.join(","))
    }
}

//! Topology of the fleet: zones, regions, nearness, and the regions in which work is allowed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use crate::ids::RegionName;

/// Topological distance between two machines; nearer variants are smaller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Nearness {
    /// Same zone.
    Zone,
    /// Same region, different zones.
    Region,
    /// Different regions.
    OtherRegion,
}

/// Assignment of zones to regions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    region_by_zone: BTreeMap<Arc<str>, RegionName>,
}

impl Topology {
    /// Creates the assignment from pairs of a zone and its region.
    pub fn new(regions: impl IntoIterator<Item = (Arc<str>, RegionName)>) -> Self {
        Self { region_by_zone: regions.into_iter().collect() }
    }

    /// Region of a zone; `None` if the zone is unknown.
    pub fn region_of(&self, zone: &str) -> Option<&RegionName> {
        self.region_by_zone.get(zone)
    }

    /// Nearness of two zones. If no zone is assigned, all belong to one region.
    pub fn nearness(&self, one: &str, other: &str) -> Nearness {
        if one == other {
            return Nearness::Zone;
        }
        let is_same_region = self.region_by_zone.is_empty()
            || self.region_of(one).is_some_and(|region| self.region_of(other) == Some(region));
        if is_same_region { Nearness::Region } else { Nearness::OtherRegion }
    }
}

/// Zone of a machine within the topology.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Location {
    pub zone: Arc<str>,
    pub topology: Arc<Topology>,
}

impl Location {
    /// A location in a fleet without configured regions.
    pub fn in_zone(zone: &str) -> Self {
        Self { zone: Arc::from(zone), topology: Arc::default() }
    }

    /// Nearness of a zone to this location.
    pub fn nearness(&self, zone: &str) -> Nearness {
        self.topology.nearness(&self.zone, zone)
    }
}

/// Set of regions in which work is allowed; all regions by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions {
    /// `None` allows all regions.
    allowed: Option<BTreeSet<RegionName>>,
}

impl AllowedRegions {
    /// Allows only these regions; all regions if `regions` is empty.
    pub fn new(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let allowed: BTreeSet<RegionName> = regions.into_iter().collect();
        Self { allowed: (!allowed.is_empty()).then_some(allowed) }
    }

    /// Intersection of both sets; may be empty.
    pub fn and(&self, other: &Self) -> Self {
        let allowed = match (&self.allowed, &other.allowed) {
            (Some(own), Some(others)) => Some(own.intersection(others).cloned().collect()),
            (own, others) => own.as_ref().or(others.as_ref()).cloned(),
        };
        Self { allowed }
    }

    /// Whether all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.allowed.is_none()
    }

    /// Whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        self.allowed.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Whether work is allowed in a region. An unknown region (`None`) is allowed only if all regions are.
    pub fn allow(&self, region: Option<&RegionName>) -> bool {
        self.allowed.as_ref().is_none_or(|allowed| region.is_some_and(|region| allowed.contains(region)))
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(allowed) = &self.allowed else { return formatter.write_str("all") };
        let names: Vec<&str> = allowed.iter().map(RegionName::as_str).collect();
        formatter.write_str(&names.join(","))
    }
}

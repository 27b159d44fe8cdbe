//! Network distance from this node to zones: measured on its own connections, estimated from the location before.

use std::collections::HashMap;
use std::sync::Arc;

use sumacdrift_types::{Location, Nearness};

/// Assumed round trip until a connection was measured: within a zone, within a region, and between regions some
/// hundred kilometres apart.
const ZONE_PRIOR_MILLIS: f64 = 0.5;
const REGION_PRIOR_MILLIS: f64 = 3.0;
const REMOTE_PRIOR_MILLIS: f64 = 50.0;
/// Lower bound of the round trip to another zone. Differences within a data centre are within the measurement noise,
/// and engines of the own zone should win a tie.
const MIN_CROSS_ZONE_MILLIS: f64 = 2.0;
/// Weight of a connection that took longer than the estimate: most of the excess is caused by the engine or this
/// machine, not by the network. A shorter one replaces the estimate.
const INCREASE_WEIGHT: f64 = 0.05;

/// Cost of network traffic, in milliseconds of one program's time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrafficPrices {
    /// To another zone of the same region.
    pub zone_millis_per_kilobyte: f64,
    /// To another region.
    pub region_millis_per_kilobyte: f64,
    /// Per new connection, in addition to the round trip of its setup: it costs engines time, and the number that
    /// they accept is limited.
    pub connection_millis: f64,
}

impl Default for TrafficPrices {
    /// For prices per gigabyte of 190 to 940 between zones and 930 between regions, against what a program's time is
    /// worth.
    fn default() -> Self {
        Self { zone_millis_per_kilobyte: 0.15, region_millis_per_kilobyte: 0.45, connection_millis: 40.0 }
    }
}

/// Network cost of the path from this node to an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PathCost {
    /// In excess of the round trip within the zone.
    pub round_trip_millis: f64,
    /// See [`TrafficPrices`].
    pub millis_per_kilobyte: f64,
}

impl PathCost {
    /// The cost within the zone, relative to which all other costs are given.
    pub const IN_ZONE: Self = Self { round_trip_millis: 0.0, millis_per_kilobyte: 0.0 };
}

/// Path costs from this node to all zones.
#[derive(Debug)]
pub(crate) struct ZoneDistances {
    location: Location,
    prices: TrafficPrices,
    measured: HashMap<Arc<str>, f64>,
}

impl ZoneDistances {
    pub(crate) fn new(location: Location, prices: TrafficPrices) -> Self {
        Self { location, prices, measured: HashMap::new() }
    }

    /// Cost of opening a connection over a path. Counting the path too keeps nodes from connecting to distant engines: on
    /// a calm day 57 nodes opened 1,569 connections to 63 engines, and 2,499 with a flat cost of 5 ms.
    pub(crate) fn connection_millis(&self, path: PathCost) -> f64 {
        self.prices.connection_millis + path.round_trip_millis
    }

    pub(crate) fn location(&self) -> &Location {
        &self.location
    }

    /// Updates the round trip to a zone from the time that a connection took.
    pub(crate) fn record_connect_time(&mut self, zone: &Arc<str>, millis: f64) {
        let estimate = self.measured.entry(Arc::clone(zone)).or_insert(millis);
        let weight = if millis < *estimate { 1.0 } else { INCREASE_WEIGHT };
        *estimate += weight * (millis - *estimate);
    }

    pub(crate) fn round_trip_millis(&self, zone: &str) -> f64 {
        let prior = match self.location.nearness(zone) {
            Nearness::Zone => ZONE_PRIOR_MILLIS,
            Nearness::Region => REGION_PRIOR_MILLIS,
            Nearness::OtherRegion => REMOTE_PRIOR_MILLIS,
        };
        self.measured.get(zone).copied().unwrap_or(prior)
    }

    pub(crate) fn path_to(&self, zone: &str) -> PathCost {
        let prices = self.prices;
        let millis_per_kilobyte = match self.location.nearness(zone) {
            Nearness::Zone => return PathCost::IN_ZONE,
            Nearness::Region => prices.zone_millis_per_kilobyte,
            Nearness::OtherRegion => prices.region_millis_per_kilobyte,
        };
        let own_zone = self.round_trip_millis(&self.location.zone);
        let excess = self.round_trip_millis(zone) - own_zone;
        PathCost { round_trip_millis: excess.max(MIN_CROSS_ZONE_MILLIS), millis_per_kilobyte }
    }
}

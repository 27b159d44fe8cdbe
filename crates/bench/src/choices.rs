//! Benchmark of the choice among engines, by the number of engines.

use std::time::{Duration, Instant};

use serde::Serialize;
use sumacdrift_calls::{EngineId, EngineVersion};
use sumacdrift_fleet_view::{CachedPart, EngineLoad, Loads, engine_key};
use sumacdrift_routing::{
    EngineRegistry, EngineSpec, PlacementRequest, RequestedWork, RequiredPart, TrafficPrices,
};
use sumacdrift_scheduling::CircuitBreakerSettings;
use sumacdrift_types::{AllowedRegions, DisabledMechanisms, Location, Timestamp};

pub(crate) const ENGINE_COUNTS: [usize; 5] = [12, 400, 3_900, 8_714, 17_428];
const TIMED_CHOICES: u32 = 2_000;
const ZONE_NAMES: [&str; 3] = ["a", "b", "c"];
/// Engines that hold a part of the prompt.
const PART_HOLDERS: usize = 12;
/// Engines in use that a node of a large fleet knows from the reports of its peers.
const ENGINES_IN_USE: usize = 64;

/// Cost of a choice.
#[derive(Debug, Clone, Serialize)]
pub struct ChoiceSlope {
    /// Number of engines of the service.
    pub engines: usize,
    /// Number of engines with calls in flight.
    pub in_use: usize,
    /// Microseconds per choice.
    pub micros: f64,
}

/// Times choices with all engines in use, and with at most [`ENGINES_IN_USE`].
pub(crate) fn measure_choices(engines: usize) -> [ChoiceSlope; 2] {
    [engines, ENGINES_IN_USE.min(engines)].map(|in_use| measure(engines, in_use))
}

fn measure(engines: usize, in_use: usize) -> ChoiceSlope {
    let now = Timestamp::default() + Duration::from_secs(10);
    let registry = build_registry(engines, in_use, now);
    let parts = [RequiredPart { part: 1, tokens: 2_560 }, RequiredPart { part: 2, tokens: 6_000 }];
    let started = Instant::now();
    let mut chosen = 0;
    for key in 0..TIMED_CHOICES {
        let request = PlacementRequest {
            service: "s",
            regions: &AllowedRegions::default(),
            key: u64::from(key),
            work: RequestedWork::Stream { parts: &parts },
            kilobytes: 8.0,
            is_connected: &|_| true,
            avoid: &[],
            deprioritized: &[],
            only: None,
            version: None,
        };
        chosen += usize::from(registry.choose(&request, now).is_some());
    }
    assert_eq!(chosen, TIMED_CHOICES as usize, "every choice finds an engine");
    ChoiceSlope { engines, in_use, micros: started.elapsed().as_secs_f64() * 1e6 / f64::from(TIMED_CHOICES) }
}

/// A registry of engines, of which `in_use` have calls and some hold parts of the prompt.
fn build_registry(engines: usize, in_use: usize, now: Timestamp) -> EngineRegistry {
    let mut registry = EngineRegistry::new(
        Location::in_zone("a"),
        TrafficPrices::default(),
        DisabledMechanisms::default(),
        CircuitBreakerSettings::default(),
    );
    let id = |engine: usize| format!("engine-{engine}");
    for engine in 0..engines {
        registry.upsert(engine_spec(&id(engine), ZONE_NAMES[engine % ZONE_NAMES.len()]), now);
    }
    registry.regroup_interchangeable(|_| false, now);
    for engine in 0..in_use {
        registry.record_sent(&EngineId::new(&id(engine)), 100, now);
    }
    for engine in 0..PART_HOLDERS.min(engines) {
        let engine = engine_key(&id(engine));
        registry.record_cached_part(CachedPart { part: 1, engine, tokens: 2_560 }, now);
    }
    registry.record_cached_part(CachedPart { part: 2, engine: engine_key(&id(0)), tokens: 5_000 }, now);
    let load = |engine| EngineLoad { engine: engine_key(&id(engine)), running: 6, ..EngineLoad::default() };
    registry.apply_peer_loads(&Loads { engines: (0..in_use).map(load).collect() }, now);
    registry
}

fn engine_spec(id: &str, zone: &str) -> EngineSpec {
    EngineSpec {
        id: EngineId::new(id),
        service: "s".into(),
        version: EngineVersion::default(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: zone.into(),
        slots: 16,
        is_draining: false,
        warmup_left: Duration::ZERO,
        report: 1,
    }
}

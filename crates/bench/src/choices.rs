//! What one choice among engines costs, by the number of engines.

use std::time::{Duration, Instant};

use serde::Serialize;
use sumacdrift_calls::EngineId;
use sumacdrift_fleet_view::{CachedPart, EngineLoad, Loads, engine_key};
use sumacdrift_routing::{
    EngineRegistry, EngineSpec, PlacementRequest, RequestedWork, RequiredPart, TrafficPrices,
};
use sumacdrift_scheduling::CircuitBreakerSettings;
use sumacdrift_types::{AllowedRegions, DisabledMechanisms, Location, Timestamp};

/// Numbers of engines that are measured.
pub(crate) const ENGINES: [usize; 5] = [12, 400, 3_900, 8_714, 17_428];
/// Choices that are timed.
const CHOICES: u32 = 2_000;
/// Zones over which the engines are spread.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Engines that hold a part of the prompt.
const HOLDERS: usize = 12;
/// Engines at which anybody has calls, as far as a node of a large fleet is told.
const IN_USE: usize = 64;

/// What a choice costs.
#[derive(Debug, Clone, Serialize)]
pub struct ChoiceSlope {
    /// Engines of the service.
    pub engines: usize,
    /// Those of them that have calls.
    pub in_use: usize,
    /// Microseconds for a choice.
    pub micros: f64,
}

/// Times choices among so many engines: all of them in use, and only some.
pub(crate) fn measure_choices(engines: usize) -> [ChoiceSlope; 2] {
    [engines, IN_USE.min(engines)].map(|in_use| measure(engines, in_use))
}

fn measure(engines: usize, in_use: usize) -> ChoiceSlope {
    let now = Timestamp::default() + Duration::from_secs(10);
    let book = book(engines, in_use, now);
    let parts = [RequiredPart { part: 1, tokens: 2_560 }, RequiredPart { part: 2, tokens: 6_000 }];
    let begun = Instant::now();
    let mut chosen = 0;
    for key in 0..CHOICES {
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
        };
        chosen += usize::from(book.choose(&request, now).is_some());
    }
    assert_eq!(chosen, CHOICES as usize, "every choice finds an engine");
    ChoiceSlope { engines, in_use, micros: begun.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES) }
}

/// A book of engines, some of which are in use and partly hold the prompt.
fn book(engines: usize, in_use: usize, now: Timestamp) -> EngineRegistry {
    let mut book = EngineRegistry::new(
        Location::in_zone("a"),
        TrafficPrices::default(),
        DisabledMechanisms::default(),
        CircuitBreakerSettings::default(),
    );
    let id = |engine: usize| format!("engine-{engine}");
    for engine in 0..engines {
        book.upsert(spec(&id(engine), ZONES[engine % ZONES.len()]), now);
    }
    book.regroup_interchangeable(|_| false, now);
    for engine in 0..in_use {
        book.record_sent(&EngineId::new(&id(engine)), 100, now);
    }
    for engine in 0..HOLDERS.min(engines) {
        let engine = engine_key(&id(engine));
        book.record_cached_part(CachedPart { part: 1, engine, tokens: 2_560 }, now);
    }
    book.record_cached_part(CachedPart { part: 2, engine: engine_key(&id(0)), tokens: 5_000 }, now);
    let load = |engine| EngineLoad { engine: engine_key(&id(engine)), running: 6, ..EngineLoad::default() };
    book.apply_peer_loads(&Loads { engines: (0..in_use).map(load).collect() }, now);
    book
}

fn spec(id: &str, zone: &str) -> EngineSpec {
    EngineSpec {
        id: EngineId::new(id),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: zone.into(),
        slots: 16,
        is_leaving: false,
        warmup_left: Duration::ZERO,
        report: 1,
    }
}

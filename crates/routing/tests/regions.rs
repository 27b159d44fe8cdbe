//! Choice by network distance, and calls that are restricted to regions.

mod engine_fixtures;

use std::sync::Arc;
use std::time::Duration;

use engine_fixtures::{NOW, chosen, request, spec, turn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_calls::EngineId;
use sumacdrift_fleet_view::{CachedPart, engine_key};
use sumacdrift_routing::{
    EngineRegistry, Evacuation, Outcome, PlacementRequest, RequiredPart, TrafficPrices,
};
use sumacdrift_scheduling::CircuitBreakerSettings;
use sumacdrift_types::{AllowedRegions, DisabledMechanisms, Location, RegionName, Topology};

const ZONES: [(&str, &str); 4] = [("e1", "east"), ("e2", "east"), ("w1", "west"), ("s1", "south")];

fn region(name: &str) -> RegionName {
    RegionName::new(name).expect("a valid region name")
}

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::new(regions.iter().map(|name| region(name)))
}

/// A registry of a node in `e1`.
fn registry(engines: &[(&str, &str)]) -> EngineRegistry {
    let topology = Topology::new(ZONES.map(|(zone, of)| (Arc::from(zone), region(of))));
    let location = Location { zone: Arc::from("e1"), topology: Arc::new(topology) };
    let health = CircuitBreakerSettings { failure_threshold: 2, ..CircuitBreakerSettings::default() };
    let mut registry =
        EngineRegistry::new(location, TrafficPrices::default(), DisabledMechanisms::default(), health);
    for (id, zone) in engines {
        registry.upsert(spec(id, zone), NOW);
    }
    registry
}

fn record_connect_time(registry: &mut EngineRegistry, id: &str, millis: f64) {
    registry.record_connect_time(&EngineId::new(id), Duration::from_secs_f64(millis / 1e3));
}

#[test]
fn calls_prefer_own_zone_then_own_region_then_other_regions() {
    let mut registry = registry(&[("here", "e1"), ("near", "e2"), ("far", "w1")]);
    for expected in ["here", "near", "far"] {
        assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some(expected));
        registry.remove(&EngineId::new(expected), NOW);
    }
}

/// Calls spill over to another region when waiting here takes longer than the round trip.
#[test]
fn calls_spill_over_by_measured_round_trip() {
    for (one_way, spills_at) in [(0.2, 1..=8), (1.4, 1..=8), (30.0, 5..=40)] {
        let mut registry = registry(&[("here", "e1"), ("far", "w1")]);
        record_connect_time(&mut registry, "here", 1.4);
        record_connect_time(&mut registry, "far", 1.0 + 2.0 * one_way);
        let calls = (0..60).find(|_| {
            let is_far = chosen(&registry, &request(&[]), NOW).as_deref() == Some("far");
            registry.record_sent(&EngineId::new("here"), 0, NOW);
            is_far
        });
        let calls = calls.expect("calls spill over at some load");
        assert!(spills_at.contains(&calls), "{calls} calls here at {one_way} ms one way");
    }
}

#[test]
fn calls_return_when_local_capacity_is_free() {
    let mut registry = registry(&[("here", "e1"), ("far", "w1")]);
    (0..60).for_each(|_| registry.record_sent(&EngineId::new("here"), 0, NOW));
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("far"));
    for _ in 0..60 {
        registry.record_outcome(&EngineId::new("here"), Outcome::Sound, NOW);
    }
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("here"));
}

/// A shorter connection time is adopted at once; a longer one has little weight, as the engine is the likely cause.
#[test]
fn round_trip_follows_the_shortest_recent_connection() {
    let mut registry = registry(&[("far", "w1")]);
    let far = EngineId::new("far");
    assert!(
        registry.round_trip(&far) > Duration::from_millis(20),
        "estimated from the location before the first connection"
    );
    record_connect_time(&mut registry, "far", 90.0);
    record_connect_time(&mut registry, "far", 61.0);
    record_connect_time(&mut registry, "far", 161.0);
    assert_eq!(registry.round_trip(&far).as_millis(), 66);
}

/// A short prompt cached in another region is prefilled again; a long one is worth the round trip.
#[test]
fn remote_cache_is_used_only_for_a_long_prompt() {
    for (tokens, expected) in [(500, "here"), (60_000, "far")] {
        let mut registry = registry(&[("here", "e1"), ("far", "w1")]);
        let cached = u32::try_from(tokens).expect("tokens");
        registry.record_cached_part(CachedPart { part: 1, engine: engine_key("far"), tokens: cached }, NOW);
        let parts = [RequiredPart { part: 1, tokens }];
        assert_eq!(chosen(&registry, &turn(1, &parts), NOW).as_deref(), Some(expected), "{tokens} tokens");
    }
}

#[test]
fn region_bound_call_never_leaves_its_regions() {
    let mut registry = registry(&[("here", "e1"), ("far", "w1"), ("unknown", "x9")]);
    let west = only(&["west"]);
    let bound = PlacementRequest { regions: &west, ..request(&[]) };
    assert_eq!(chosen(&registry, &bound, NOW).as_deref(), Some("far"));
    // Not even a failing, removed or evacuated engine is replaced by one outside the regions.
    registry.remove(&EngineId::new("far"), NOW);
    assert_eq!(chosen(&registry, &bound, NOW + Duration::from_secs(5)), None);
    let both = only(&["west", "east"]);
    registry.begin_evacuation(Evacuation { zone: Arc::from("e1"), revision: 1 }, NOW);
    let bound = PlacementRequest { regions: &both, ..request(&[]) };
    assert_eq!(chosen(&registry, &bound, NOW + Duration::from_secs(5)), None);
    let unbound = request(&[]);
    assert_eq!(chosen(&registry, &unbound, NOW + Duration::from_secs(5)).as_deref(), Some("unknown"));
}

/// No engine outside the allowed regions is chosen in any state.
#[test]
fn chosen_engine_is_always_in_allowed_regions() {
    let names = ["east", "west", "south"];
    for seed in 0..10_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut registry = registry(&[]);
        let count = random.random_range(1..8);
        let mut zones = Vec::new();
        for engine in 0..count {
            let (zone, of) = ZONES[random.random_range(0..ZONES.len())];
            let id = format!("engine {engine}");
            registry.upsert(spec(&id, zone), NOW);
            (0..random.random_range(0..12)).for_each(|_| registry.record_sent(&EngineId::new(&id), 100, NOW));
            if random.random_bool(0.2) {
                registry.remove(&EngineId::new(&id), NOW);
            }
            zones.push((id, of));
        }
        let allowed: Vec<&str> = names.into_iter().filter(|_| random.random_bool(0.4)).collect();
        let regions = only(&allowed);
        let key = random.random();
        let bound = PlacementRequest { regions: &regions, key, ..request(&[]) };
        let Some(engine) = chosen(&registry, &bound, NOW) else { continue };
        let (_, of) = zones.iter().find(|(id, _)| *id == engine).expect("an engine is available");
        assert!(
            allowed.is_empty() || allowed.contains(of),
            "seed {seed}: {engine} in {of}, allowed {allowed:?}"
        );
    }
}

//! Engines near and far, and calls that are bound to regions.

mod engines_for_tests;

use std::sync::Arc;
use std::time::Duration;

use engines_for_tests::{NOW, chosen, request, spec, turn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_calls::EngineId;
use sumacdrift_fleet_view::{PartHeld, engine_key};
use sumacdrift_routing::{EngineBook, Evacuation, Outcome, PartNeed, PlacementRequest, TrafficPrices};
use sumacdrift_scheduling::HealthSettings;
use sumacdrift_types::{AllowedRegions, Location, Places, RegionName, SwitchedOff};

const ZONES: [(&str, &str); 4] = [("e1", "east"), ("e2", "east"), ("w1", "west"), ("s1", "south")];

fn region(name: &str) -> RegionName {
    RegionName::new(name).expect("a name")
}

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::only(regions.iter().map(|name| region(name)))
}

/// A book at a node in `e1`.
fn book(engines: &[(&str, &str)]) -> EngineBook {
    let places = Places::new(ZONES.map(|(zone, of)| (Arc::from(zone), region(of))));
    let location = Location { zone: Arc::from("e1"), places: Arc::new(places) };
    let health = HealthSettings { failures_to_open: 2, ..HealthSettings::default() };
    let mut book = EngineBook::new(location, TrafficPrices::default(), SwitchedOff::default(), health);
    for (id, zone) in engines {
        book.upsert(spec(id, zone), NOW);
    }
    book
}

fn connected(book: &mut EngineBook, id: &str, millis: f64) {
    book.connected(&EngineId::new(id), Duration::from_secs_f64(millis / 1e3));
}

#[test]
fn calls_go_to_the_own_zone_then_the_own_region_then_elsewhere() {
    let mut book = book(&[("here", "e1"), ("near", "e2"), ("far", "w1")]);
    for gone in ["here", "near", "far"] {
        assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some(gone));
        book.remove(&EngineId::new(gone), NOW);
    }
}

/// Ways of 0.2, 1.4 and 30 ms: work spills over to another region when waiting here takes longer than the way there.
#[test]
fn work_spills_over_by_the_way_that_was_measured() {
    for (one_way, spills_at) in [(0.2, 1..=8), (1.4, 1..=8), (30.0, 5..=40)] {
        let mut book = book(&[("here", "e1"), ("far", "w1")]);
        connected(&mut book, "here", 1.4);
        connected(&mut book, "far", 1.0 + 2.0 * one_way);
        let calls = (0..60).find(|_| {
            let is_far = chosen(&book, &request(&[]), NOW).as_deref() == Some("far");
            book.sent(&EngineId::new("here"), 0, NOW);
            is_far
        });
        let calls = calls.expect("at some load work spills over");
        assert!(spills_at.contains(&calls), "{calls} calls here at {one_way} ms one way");
    }
}

/// It comes back as soon as the load here is gone.
#[test]
fn work_comes_back_when_there_is_room_again() {
    let mut book = book(&[("here", "e1"), ("far", "w1")]);
    (0..60).for_each(|_| book.sent(&EngineId::new("here"), 0, NOW));
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("far"));
    for _ in 0..60 {
        book.ended(&EngineId::new("here"), Outcome::Sound, NOW);
    }
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("here"));
}

/// A shorter connection is believed at once, a longer one hardly: it is mostly the engine's doing.
#[test]
fn the_way_is_the_shortest_that_was_seen_of_late() {
    let mut book = book(&[("far", "w1")]);
    let far = EngineId::new("far");
    assert!(book.round_trip(&far) > Duration::from_millis(20), "what places tell until a connection is made");
    connected(&mut book, "far", 90.0);
    connected(&mut book, "far", 61.0);
    connected(&mut book, "far", 161.0);
    assert_eq!(book.round_trip(&far).as_millis(), 66);
}

/// A short prompt that lies in another region is read again here; a long one is worth the way.
#[test]
fn a_prompt_in_another_region_is_followed_where_reading_it_takes_longer() {
    for (tokens, expected) in [(500, "here"), (60_000, "far")] {
        let mut book = book(&[("here", "e1"), ("far", "w1")]);
        let held = u32::try_from(tokens).expect("tokens");
        book.holds(PartHeld { part: 1, engine: engine_key("far"), tokens: held }, NOW);
        let parts = [PartNeed { part: 1, tokens }];
        assert_eq!(chosen(&book, &turn(1, &parts), NOW).as_deref(), Some(expected), "{tokens} tokens");
    }
}

#[test]
fn a_bound_call_stays_in_its_regions_whatever_else_is_there() {
    let mut book = book(&[("here", "e1"), ("far", "w1"), ("unknown", "x9")]);
    let west = only(&["west"]);
    let bound = PlacementRequest { regions: &west, ..request(&[]) };
    assert_eq!(chosen(&book, &bound, NOW).as_deref(), Some("far"));
    // Neither an engine that fails, nor one that is gone, nor an evacuated zone is made up for elsewhere.
    book.remove(&EngineId::new("far"), NOW);
    assert_eq!(chosen(&book, &bound, NOW + Duration::from_secs(5)), None);
    let both = only(&["west", "east"]);
    book.evacuate(Evacuation { zone: Arc::from("e1"), revision: 1 }, NOW);
    let bound = PlacementRequest { regions: &both, ..request(&[]) };
    assert_eq!(chosen(&book, &bound, NOW + Duration::from_secs(5)), None);
    let unbound = request(&[]);
    assert_eq!(chosen(&book, &unbound, NOW + Duration::from_secs(5)).as_deref(), Some("unknown"));
}

/// Whatever is known of engines and whichever regions are allowed, no engine elsewhere is ever chosen.
#[test]
fn no_seed_leads_out_of_the_allowed_regions() {
    let names = ["east", "west", "south"];
    for seed in 0..10_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut book = book(&[]);
        let count = random.random_range(1..8);
        let mut zones = Vec::new();
        for engine in 0..count {
            let (zone, of) = ZONES[random.random_range(0..ZONES.len())];
            let id = format!("engine {engine}");
            book.upsert(spec(&id, zone), NOW);
            (0..random.random_range(0..12)).for_each(|_| book.sent(&EngineId::new(&id), 100, NOW));
            if random.random_bool(0.2) {
                book.remove(&EngineId::new(&id), NOW);
            }
            zones.push((id, of));
        }
        let allowed: Vec<&str> = names.into_iter().filter(|_| random.random_bool(0.4)).collect();
        let regions = only(&allowed);
        let key = random.random();
        let bound = PlacementRequest { regions: &regions, key, ..request(&[]) };
        let Some(engine) = chosen(&book, &bound, NOW) else { continue };
        let (_, of) = zones.iter().find(|(id, _)| *id == engine).expect("an engine");
        assert!(
            allowed.is_empty() || allowed.contains(of),
            "seed {seed}: {engine} in {of}, allowed {allowed:?}"
        );
    }
}

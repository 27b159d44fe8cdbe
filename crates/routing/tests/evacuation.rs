//! Engines of evacuated zones get no new calls, whatever the order in which reports arrive.

mod engine_fixtures;

use std::sync::Arc;

use engine_fixtures::{NOW, chosen, may_send, registry, request};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_calls::EngineId;
use sumacdrift_routing::{Evacuation, PlacementRequest};

fn evacuation(zone: &str, revision: u64) -> Evacuation {
    Evacuation { zone: Arc::from(zone), revision }
}

#[test]
fn evacuated_zone_gets_no_calls_until_the_end() {
    let mut registry = registry(&[("a", "z1"), ("b", "z2")]);
    let change = registry.begin_evacuation(evacuation("z1", 5), NOW).expect("a change");
    assert!(change.is_evacuated);
    for key in 0..20 {
        assert_eq!(chosen(&registry, &PlacementRequest { key, ..request(&[]) }, NOW).as_deref(), Some("b"));
    }
    assert!(!may_send(&registry, "a", None, NOW));
    assert!(!registry.end_evacuation("z1", 5, NOW).expect("a change").is_evacuated);
    assert!(may_send(&registry, "a", None, NOW));
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("a"), "the own zone is preferred");
}

#[test]
fn engine_added_to_an_evacuated_zone_gets_no_calls() {
    let mut registry = registry(&[("a", "z1")]);
    registry.begin_evacuation(evacuation("z1", 5), NOW);
    registry.upsert(engine_fixtures::spec("late", "z1"), NOW);
    assert_eq!(chosen(&registry, &request(&[]), NOW), None);
}

#[test]
fn evacuated_engine_is_not_chosen_even_if_no_other_may_be() {
    let mut registry = registry(&[("a", "z1"), ("b", "z2")]);
    registry.begin_evacuation(evacuation("z1", 5), NOW);
    let only = EngineId::new("a");
    assert_eq!(chosen(&registry, &PlacementRequest { only: Some(&only), ..request(&[]) }, NOW), None);
    registry.begin_evacuation(evacuation("z2", 6), NOW);
    assert_eq!(chosen(&registry, &request(&[]), NOW), None);
}

#[test]
fn stale_report_neither_begins_nor_ends_an_evacuation() {
    let mut registry = registry(&[("a", "z1")]);
    registry.begin_evacuation(evacuation("z1", 8), NOW);
    assert_eq!(registry.end_evacuation("z1", 7, NOW), None);
    assert!(registry.set_evacuations(Vec::new(), 7, NOW).is_empty(), "a stale listing");
    assert!(!may_send(&registry, "a", None, NOW));
    assert_eq!(registry.set_evacuations(Vec::new(), 9, NOW).len(), 1);
    assert_eq!(registry.begin_evacuation(evacuation("z1", 8), NOW), None);
    assert!(registry.set_evacuations(vec![evacuation("z1", 8)], 8, NOW).is_empty(), "a stale listing");
    assert!(may_send(&registry, "a", None, NOW));
}

/// Eviction of remembered zones must not end an evacuation.
#[test]
fn only_ended_evacuations_are_evicted() {
    let mut registry = registry(&[("a", "z1")]);
    registry.begin_evacuation(evacuation("z1", 1), NOW);
    for zone in 0..3_000_u64 {
        let name = format!("z1-{zone}");
        registry.begin_evacuation(evacuation(&name, 2 + zone * 2), NOW);
        registry.end_evacuation(&name, 3 + zone * 2, NOW);
    }
    assert!(!may_send(&registry, "a", None, NOW));
}

/// Reports with their revision; a listing also has the revision of the evacuation listed, if any.
enum Report {
    Begin(u64),
    End(u64),
    Listing(u64, Option<u64>),
}

/// The report of the highest revision wins for any subset and order of reports.
#[test]
fn newest_report_wins_in_any_order() {
    for seed in 0..10_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count: u64 = random.random_range(1..6);
        // Evacuated at 10, 30, …, ended at 20, 40, …; listings in between.
        let mut reports = Vec::new();
        for step in 0..count {
            let (begun, ended) = (10 + step * 20, 20 + step * 20);
            reports.push((begun, Report::Begin(begun)));
            reports.push((begun + 5, Report::Listing(begun + 5, Some(begun))));
            reports.push((ended, Report::End(ended)));
            reports.push((ended + 5, Report::Listing(ended + 5, None)));
        }
        reports.shuffle(&mut random);
        reports.truncate(random.random_range(1..=reports.len()));
        let newest = reports.iter().map(|(at, _)| *at).max().expect("at least one report");
        let mut registry = registry(&[("a", "z1")]);
        for (_, report) in reports {
            match report {
                Report::Begin(at) => drop(registry.begin_evacuation(evacuation("z1", at), NOW)),
                Report::End(at) => drop(registry.end_evacuation("z1", at, NOW)),
                Report::Listing(at, begun) => {
                    let all = begun.map(|begun| evacuation("z1", begun)).into_iter().collect();
                    registry.set_evacuations(all, at, NOW);
                }
            }
        }
        let is_evacuated = newest % 20 >= 10;
        assert_eq!(!may_send(&registry, "a", None, NOW), is_evacuated, "seed {seed}, newest {newest}");
    }
}

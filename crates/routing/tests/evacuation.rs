//! Engines of evacuated zones get nothing new, whatever order reports arrive in.

mod engines_for_tests;

use std::sync::Arc;

use engines_for_tests::{NOW, book, chosen, may_send, request};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sumacdrift_calls::EngineId;
use sumacdrift_routing::{Evacuation, PlacementRequest};

fn evacuation(zone: &str, revision: u64) -> Evacuation {
    Evacuation { zone: Arc::from(zone), revision }
}

#[test]
fn an_evacuated_zone_gets_nothing_until_the_end() {
    let mut book = book(&[("a", "z1"), ("b", "z2")]);
    let change = book.evacuate(evacuation("z1", 5), NOW).expect("news");
    assert!(change.is_evacuated);
    for key in 0..20 {
        assert_eq!(chosen(&book, &PlacementRequest { key, ..request(&[]) }, NOW).as_deref(), Some("b"));
    }
    assert!(!may_send(&book, "a", None, NOW));
    assert!(!book.end_evacuation("z1", 5, NOW).expect("news").is_evacuated);
    assert!(may_send(&book, "a", None, NOW));
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("a"), "the own zone is nearer");
}

#[test]
fn engines_that_are_added_to_an_evacuated_zone_get_nothing() {
    let mut book = book(&[("a", "z1")]);
    book.evacuate(evacuation("z1", 5), NOW);
    book.upsert(engines_for_tests::spec("late", "z1"), NOW);
    assert_eq!(chosen(&book, &request(&[]), NOW), None);
}

#[test]
fn an_engine_is_not_chosen_as_the_last_one_or_the_only_one() {
    let mut book = book(&[("a", "z1"), ("b", "z2")]);
    book.evacuate(evacuation("z1", 5), NOW);
    let only = EngineId::new("a");
    assert_eq!(chosen(&book, &PlacementRequest { only: Some(&only), ..request(&[]) }, NOW), None);
    book.evacuate(evacuation("z2", 6), NOW);
    assert_eq!(chosen(&book, &request(&[]), NOW), None);
}

#[test]
fn an_old_report_neither_begins_nor_ends_an_evacuation() {
    let mut book = book(&[("a", "z1")]);
    book.evacuate(evacuation("z1", 8), NOW);
    assert_eq!(book.end_evacuation("z1", 7, NOW), None);
    assert!(book.set_evacuations(Vec::new(), 7, NOW).is_empty(), "a listing that is behind");
    assert!(!may_send(&book, "a", None, NOW));
    assert_eq!(book.set_evacuations(Vec::new(), 9, NOW).len(), 1);
    assert_eq!(book.evacuate(evacuation("z1", 8), NOW), None);
    assert!(book.set_evacuations(vec![evacuation("z1", 8)], 8, NOW).is_empty(), "a listing that is behind");
    assert!(may_send(&book, "a", None, NOW));
}

/// However many zones were ever evacuated, one that is stays so.
#[test]
fn what_is_forgotten_is_over() {
    let mut book = book(&[("a", "z1")]);
    book.evacuate(evacuation("z1", 1), NOW);
    for zone in 0..3_000_u64 {
        let name = format!("z1-{zone}");
        book.evacuate(evacuation(&name, 2 + zone * 2), NOW);
        book.end_evacuation(&name, 3 + zone * 2, NOW);
    }
    assert!(!may_send(&book, "a", None, NOW));
}

/// A report: a begin, an end, or everything at a revision.
enum Report {
    Begin(u64),
    End(u64),
    All(u64, Option<u64>),
}

/// Whatever subset of reports arrives in whatever order, the newest one that arrived counts.
#[test]
fn the_newest_report_counts_in_any_order() {
    for seed in 0..10_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count: u64 = random.random_range(1..6);
        // Evacuated at 10, 30, …, taken back at 20, 40, …; listings in between.
        let mut reports = Vec::new();
        for step in 0..count {
            let (begun, ended) = (10 + step * 20, 20 + step * 20);
            reports.push((begun, Report::Begin(begun)));
            reports.push((begun + 5, Report::All(begun + 5, Some(begun))));
            reports.push((ended, Report::End(ended)));
            reports.push((ended + 5, Report::All(ended + 5, None)));
        }
        reports.shuffle(&mut random);
        reports.truncate(random.random_range(1..=reports.len()));
        let newest = reports.iter().map(|(at, _)| *at).max().expect("a report");
        let mut book = book(&[("a", "z1")]);
        for (_, report) in reports {
            match report {
                Report::Begin(at) => drop(book.evacuate(evacuation("z1", at), NOW)),
                Report::End(at) => drop(book.end_evacuation("z1", at, NOW)),
                Report::All(at, begun) => {
                    let all = begun.map(|begun| evacuation("z1", begun)).into_iter().collect();
                    book.set_evacuations(all, at, NOW);
                }
            }
        }
        let is_evacuated = newest % 20 >= 10;
        assert_eq!(!may_send(&book, "a", None, NOW), is_evacuated, "seed {seed}, newest {newest}");
    }
}

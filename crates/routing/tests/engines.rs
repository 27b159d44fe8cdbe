//! The choice among engines and what is believed of them.

use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_routing::{EngineBook, EngineSpec, Outcome, PlacementRequest};
use sumacdrift_scheduling::HealthSettings;
use sumacdrift_types::Timestamp;

const NOW: Timestamp = Timestamp(5_000_000);

fn spec(id: &str, zone: &str) -> EngineSpec {
    EngineSpec {
        id: EngineId::new(id),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: zone.into(),
        slots: 4,
        is_leaving: false,
        report: 1,
    }
}

fn book(engines: &[(&str, &str)]) -> EngineBook {
    let mut book = EngineBook::new(HealthSettings { failures_to_open: 2, ..HealthSettings::default() });
    for (id, zone) in engines {
        book.upsert(spec(id, zone), NOW);
    }
    book
}

fn request<'a>(affinity: Option<&'a str>, avoid: &'a [EngineId]) -> PlacementRequest<'a> {
    PlacementRequest { service: "s", zone: "z1", affinity, avoid, rather_not: &[], only: None, tie: 0.3 }
}

fn chosen(book: &EngineBook, request: &PlacementRequest<'_>, now: Timestamp) -> Option<String> {
    book.choose(request, now).map(|placed| placed.engine.to_string())
}

#[test]
fn a_line_of_turns_stays_at_its_engine_and_lines_spread() {
    let book = book(&[("a", "z1"), ("b", "z1"), ("c", "z1")]);
    let of = |line: &str| chosen(&book, &request(Some(line), &[]), NOW);
    assert_eq!(of("line 1"), of("line 1"));
    let engines: std::collections::BTreeSet<_> = (0..50).map(|line| of(&format!("line {line}"))).collect();
    assert_eq!(engines.len(), 3);
}

#[test]
fn an_engine_that_is_busy_loses_its_preference() {
    let mut book = book(&[("a", "z1"), ("b", "z1")]);
    let first = book.choose(&request(Some("line"), &[]), NOW).expect("an engine").engine;
    for _ in 0..4 {
        book.sent(&first, NOW);
    }
    assert_ne!(chosen(&book, &request(Some("line"), &[]), NOW), Some(first.to_string()));
}

#[test]
fn the_own_zone_goes_first_until_it_is_busier() {
    let mut book = book(&[("near", "z1"), ("far", "z2")]);
    assert_eq!(chosen(&book, &request(None, &[]), NOW).as_deref(), Some("near"));
    for _ in 0..3 {
        book.sent(&EngineId::new("near"), NOW);
    }
    assert_eq!(chosen(&book, &request(None, &[]), NOW).as_deref(), Some("far"));
}

#[test]
fn an_engine_that_leaves_gets_nothing_new_and_does_not_come_back() {
    let mut book = book(&[("a", "z1"), ("b", "z1")]);
    book.upsert(EngineSpec { is_leaving: true, report: 2, ..spec("a", "z1") }, NOW);
    let late = EngineSpec { report: 3, ..spec("a", "z1") };
    assert!(!book.upsert(late, NOW));
    assert_eq!(chosen(&book, &request(None, &[]), NOW).as_deref(), Some("b"));
    assert_eq!(book.usable("s", NOW), 1);
}

#[test]
fn a_report_that_was_held_up_changes_nothing() {
    let mut book = book(&[("a", "z1")]);
    book.upsert(EngineSpec { report: 9, is_leaving: true, ..spec("a", "z1") }, NOW);
    assert!(!book.upsert(EngineSpec { report: 8, ..spec("a", "z1") }, NOW));
}

#[test]
fn an_engine_that_just_went_is_the_last_resort_for_a_short_time() {
    let mut book = book(&[("a", "z1")]);
    book.remove(&EngineId::new("a"), NOW);
    assert_eq!(chosen(&book, &request(None, &[]), NOW).as_deref(), Some("a"));
    assert_eq!(chosen(&book, &request(None, &[]), NOW + Duration::from_secs(2)), None);
}

#[test]
fn an_engine_that_reappears_is_used_again() {
    let mut book = book(&[("a", "z1"), ("b", "z1")]);
    book.remove(&EngineId::new("a"), NOW);
    assert!(book.upsert(EngineSpec { report: 2, ..spec("a", "z1") }, NOW));
    assert_eq!(book.usable("s", NOW), 2);
}

#[test]
fn an_engine_that_fails_twice_is_avoided_while_there_is_another() {
    let mut book = book(&[("a", "z1"), ("b", "z2")]);
    let near = EngineId::new("a");
    for failures in 1..=2 {
        book.sent(&near, NOW);
        assert_eq!(book.ended(&near, Outcome::Faulty, NOW), failures == 2);
    }
    assert_eq!(chosen(&book, &request(None, &[]), NOW).as_deref(), Some("b"));
    let other = [EngineId::new("b")];
    assert_eq!(chosen(&book, &request(None, &other), NOW).as_deref(), Some("a"));
}

#[test]
fn a_list_without_an_engine_means_that_it_is_gone() {
    let mut book = book(&[("a", "z1"), ("b", "z1")]);
    book.replace_all(vec![spec("b", "z1")], Duration::ZERO, NOW);
    assert_eq!(book.usable("s", NOW), 1);
    book.forget_gone(NOW + Duration::from_secs(60), Duration::from_secs(30));
    assert!(book.spec(&EngineId::new("a")).is_none());
}

/// Flood trouble-1: when the store came back with 2 of 14 engines, all calls went to these until the others had
/// reported again.
#[test]
fn after_an_outage_of_the_directory_engines_have_time_to_report_again() {
    let mut book = book(&[("a", "z1"), ("b", "z1"), ("c", "z1")]);
    book.replace_all(vec![spec("b", "z1")], Duration::from_secs(4), NOW);
    assert_eq!(book.usable("s", NOW), 3);
    book.upsert(EngineSpec { report: 2, ..spec("a", "z1") }, NOW + Duration::from_secs(1));
    assert_eq!(book.usable("s", NOW + Duration::from_secs(2)), 2);
    assert!(book.remove(&EngineId::new("a"), NOW + Duration::from_secs(2)));
    assert_eq!(book.usable("s", NOW + Duration::from_secs(2)), 1);
}

#[test]
fn a_short_failure_of_the_directory_gives_no_time_to_engines_that_are_gone() {
    let mut book = book(&[("a", "z1"), ("b", "z1")]);
    book.replace_all(vec![spec("b", "z1")], Duration::from_millis(200), NOW);
    assert_eq!(book.usable("s", NOW), 1);
}

#[test]
fn an_engine_that_failed_a_call_is_chosen_again_only_if_there_is_no_other() {
    let book = book(&[("a", "z1"), ("b", "z2")]);
    let failed = [EngineId::new("a")];
    let again = PlacementRequest { rather_not: &failed, ..request(None, &[]) };
    assert_eq!(chosen(&book, &again, NOW).as_deref(), Some("b"));
    let other = [EngineId::new("b")];
    let alone = PlacementRequest { rather_not: &failed, ..request(None, &other) };
    assert_eq!(chosen(&book, &alone, NOW).as_deref(), Some("a"));
}

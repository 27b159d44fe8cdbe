//! Engines that are cold: what tells of it, and what a call needs that goes there.

mod engines_for_tests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use engines_for_tests::{NOW, book, book_without, chosen, may_send, request, spec};
use sumacdrift_calls::EngineId;
use sumacdrift_routing::{ColdLimit, EngineBook, EngineSpec, Evacuation, PERMIT_LASTS, Permit};
use sumacdrift_types::Mechanism;

const LASTS: Duration = Duration::from_secs(3);
const LIMIT: ColdLimit = ColdLimit { lasts: LASTS, calls_per_second: 26.0 };

fn with_limits(mut book: EngineBook) -> EngineBook {
    book.set_cold_limits(HashMap::from([(Arc::from("s"), LIMIT)]));
    book
}

fn cold(id: &str, left: Duration, report: u64) -> EngineSpec {
    EngineSpec { cold_left: left, report, ..spec(id, "z1") }
}

fn is_cold(book: &EngineBook, id: &str, passed: Duration) -> bool {
    book.cold_limit(&EngineId::new(id), NOW + passed).is_some()
}

#[test]
fn an_entry_tells_how_long_an_engine_is_cold() {
    let mut book = with_limits(book(&[]));
    book.upsert(cold("a", LASTS, 1), NOW);
    assert!(is_cold(&book, "a", Duration::from_millis(2_900)));
    assert!(!is_cold(&book, "a", LASTS));
    let placed = book.choose(&request(&[]), NOW).expect("an engine");
    assert_eq!(placed.cold, Some(LIMIT));
}

#[test]
fn a_newer_entry_tells_otherwise_and_an_older_one_does_not() {
    let mut book = with_limits(book(&[]));
    book.upsert(cold("a", LASTS, 5), NOW);
    book.upsert(cold("a", Duration::ZERO, 4), NOW);
    assert!(is_cold(&book, "a", Duration::ZERO));
    book.upsert(cold("a", Duration::ZERO, 6), NOW);
    assert!(!is_cold(&book, "a", Duration::ZERO));
    book.upsert(cold("a", LASTS, 7), NOW);
    assert!(is_cold(&book, "a", Duration::ZERO), "it may become cold again at any moment");
}

#[test]
fn where_a_service_has_no_limit_coldness_does_not_matter() {
    let mut book = book(&[]);
    book.upsert(cold("a", LASTS, 1), NOW);
    assert_eq!(book.choose(&request(&[]), NOW).expect("an engine").cold, None);
    assert!(may_send(&book, "a", None, NOW));
}

/// The engines of a zone that is taken back may be cold and have not said so yet.
#[test]
fn engines_behind_an_evacuation_count_as_cold() {
    let mut book = with_limits(book(&[("a", "z1"), ("b", "z2")]));
    book.evacuate(Evacuation { zone: Arc::from("z1"), revision: 1 }, NOW);
    let later = NOW + Duration::from_secs(6);
    book.end_evacuation("z1", 2, later);
    // A report from before, that nothing was cold, comes late.
    book.upsert(cold("a", Duration::ZERO, 9), later);
    assert!(is_cold(&book, "a", Duration::from_millis(8_900)));
    assert!(!is_cold(&book, "a", Duration::from_secs(9)));
    assert!(!is_cold(&book, "b", Duration::from_secs(6)));
    assert!(!may_send(&book, "a", None, later));
}

#[test]
fn a_permit_allows_a_call_for_a_moment() {
    let mut book = with_limits(book(&[]));
    book.upsert(cold("a", LASTS, 1), NOW);
    let permit = Some(Permit { asked: NOW });
    assert!(!may_send(&book, "a", None, NOW));
    assert!(may_send(&book, "a", permit, NOW + PERMIT_LASTS));
    assert!(!may_send(&book, "a", permit, NOW + PERMIT_LASTS + Duration::from_millis(1)));
    assert!(may_send(&book, "a", None, NOW + LASTS), "it is warm by then");
}

/// An engine that turned cold while a connection to it was set up gets nothing without a permit.
#[test]
fn an_engine_that_turned_cold_since_it_was_chosen_gets_nothing() {
    let mut book = with_limits(book(&[("a", "z1")]));
    assert_eq!(book.choose(&request(&[]), NOW).expect("an engine").cold, None);
    book.upsert(cold("a", LASTS, 2), NOW);
    assert!(!may_send(&book, "a", None, NOW));
}

#[test]
fn an_engine_whose_permits_are_used_up_is_left_alone_and_may_be_waited_for() {
    let mut book = with_limits(book(&[("b", "z2")]));
    book.upsert(cold("a", LASTS, 1), NOW);
    // Busy enough that asking for a permit is worth it.
    (0..4).for_each(|_| book.sent(&EngineId::new("b"), 0, NOW));
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("a"));
    let again = NOW + Duration::from_millis(100);
    book.cold_refused(&EngineId::new("a"), again);
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("b"));
    assert_eq!(book.cold_again_at(&request(&[]), NOW), Some(again));
    assert_eq!(chosen(&book, &request(&[]), again).as_deref(), Some("a"));
    assert_eq!(book.cold_again_at(&request(&[]), again), None);
}

#[test]
fn without_permits_cold_engines_get_nothing() {
    let mut book = with_limits(book_without(&[Mechanism::ColdPermits], &[("b", "z2")]));
    book.upsert(cold("a", LASTS, 1), NOW);
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("b"));
    assert_eq!(chosen(&book, &request(&[]), NOW + LASTS).as_deref(), Some("a"));
}

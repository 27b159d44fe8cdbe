//! Cold engines: when an engine counts as cold, and when a call to it needs a permit.

mod engine_fixtures;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use engine_fixtures::{NOW, book, book_without, chosen, may_send, request, spec};
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

fn is_cold(book: &EngineBook, id: &str, elapsed: Duration) -> bool {
    book.cold_limit(&EngineId::new(id), NOW + elapsed).is_some()
}

#[test]
fn entry_sets_how_long_an_engine_is_cold() {
    let mut book = with_limits(book(&[]));
    book.upsert(cold("a", LASTS, 1), NOW);
    assert!(is_cold(&book, "a", Duration::from_millis(2_900)));
    assert!(!is_cold(&book, "a", LASTS));
    let placed = book.choose(&request(&[]), NOW).expect("an engine is available");
    assert_eq!(placed.cold, Some(LIMIT));
}

#[test]
fn only_a_newer_entry_changes_coldness() {
    let mut book = with_limits(book(&[]));
    book.upsert(cold("a", LASTS, 5), NOW);
    book.upsert(cold("a", Duration::ZERO, 4), NOW);
    assert!(is_cold(&book, "a", Duration::ZERO));
    book.upsert(cold("a", Duration::ZERO, 6), NOW);
    assert!(!is_cold(&book, "a", Duration::ZERO));
    book.upsert(cold("a", LASTS, 7), NOW);
    assert!(is_cold(&book, "a", Duration::ZERO), "an engine may become cold again");
}

#[test]
fn coldness_is_ignored_without_a_service_limit() {
    let mut book = book(&[]);
    book.upsert(cold("a", LASTS, 1), NOW);
    assert_eq!(book.choose(&request(&[]), NOW).expect("an engine is available").cold, None);
    assert!(may_send(&book, "a", None, NOW));
}

/// Engines may have become cold in an evacuated zone without having reported it yet.
#[test]
fn engines_are_assumed_cold_after_an_evacuation() {
    let mut book = with_limits(book(&[("a", "z1"), ("b", "z2")]));
    book.evacuate(Evacuation { zone: Arc::from("z1"), revision: 1 }, NOW);
    let later = NOW + Duration::from_secs(6);
    book.end_evacuation("z1", 2, later);
    // A delayed report from before, when the engine was not cold.
    book.upsert(cold("a", Duration::ZERO, 9), later);
    assert!(is_cold(&book, "a", Duration::from_millis(8_900)));
    assert!(!is_cold(&book, "a", Duration::from_secs(9)));
    assert!(!is_cold(&book, "b", Duration::from_secs(6)));
    assert!(!may_send(&book, "a", None, later));
}

#[test]
fn permit_expires() {
    let mut book = with_limits(book(&[]));
    book.upsert(cold("a", LASTS, 1), NOW);
    let permit = Some(Permit { asked: NOW });
    assert!(!may_send(&book, "a", None, NOW));
    assert!(may_send(&book, "a", permit, NOW + PERMIT_LASTS));
    assert!(!may_send(&book, "a", permit, NOW + PERMIT_LASTS + Duration::from_millis(1)));
    assert!(may_send(&book, "a", None, NOW + LASTS), "the engine is warm by then");
}

/// Guards against calls to an engine that turned cold while a connection to it was set up.
#[test]
fn engine_that_turned_cold_after_the_choice_needs_a_permit() {
    let mut book = with_limits(book(&[("a", "z1")]));
    assert_eq!(book.choose(&request(&[]), NOW).expect("an engine is available").cold, None);
    book.upsert(cold("a", LASTS, 2), NOW);
    assert!(!may_send(&book, "a", None, NOW));
}

#[test]
fn cold_engine_without_permits_is_skipped_until_the_retry_time() {
    let mut book = with_limits(book(&[("b", "z2")]));
    book.upsert(cold("a", LASTS, 1), NOW);
    // Makes the other engine more expensive than a permit.
    (0..4).for_each(|_| book.sent(&EngineId::new("b"), 0, NOW));
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("a"));
    let retry_at = NOW + Duration::from_millis(100);
    book.cold_refused(&EngineId::new("a"), retry_at);
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("b"));
    assert_eq!(book.cold_again_at(&request(&[]), NOW), Some(retry_at));
    assert_eq!(chosen(&book, &request(&[]), retry_at).as_deref(), Some("a"));
    assert_eq!(book.cold_again_at(&request(&[]), retry_at), None);
}

#[test]
fn cold_engines_get_no_calls_if_permits_are_switched_off() {
    let mut book = with_limits(book_without(&[Mechanism::ColdPermits], &[("b", "z2")]));
    book.upsert(cold("a", LASTS, 1), NOW);
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("b"));
    assert_eq!(chosen(&book, &request(&[]), NOW + LASTS).as_deref(), Some("a"));
}

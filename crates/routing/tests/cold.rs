//! Cold engines: when an engine counts as cold, and when a call to it needs a permit.

mod engine_fixtures;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use engine_fixtures::{NOW, chosen, may_send, registry, registry_without, request, spec};
use sumacdrift_calls::EngineId;
use sumacdrift_routing::{
    ColdLimit, EndedEvacuation, EngineRegistry, EngineSpec, Evacuation, PERMIT_VALIDITY, Permit,
};
use sumacdrift_types::Mechanism;

const WARMUP: Duration = Duration::from_secs(3);
const LIMIT: ColdLimit = ColdLimit { warmup: WARMUP, calls_per_second: 26.0 };

fn with_limits(mut registry: EngineRegistry) -> EngineRegistry {
    registry.set_cold_limits(HashMap::from([(Arc::from("s"), LIMIT)]));
    registry
}

fn cold(id: &str, left: Duration, report: u64) -> EngineSpec {
    EngineSpec { warmup_left: left, report, ..spec(id, "z1") }
}

fn is_cold(registry: &EngineRegistry, id: &str, elapsed: Duration) -> bool {
    registry.cold_limit(&EngineId::new(id), NOW + elapsed).is_some()
}

#[test]
fn entry_sets_how_long_an_engine_is_cold() {
    let mut registry = with_limits(registry(&[]));
    registry.upsert(cold("a", WARMUP, 1), NOW);
    assert!(is_cold(&registry, "a", Duration::from_millis(2_900)));
    assert!(!is_cold(&registry, "a", WARMUP));
    let placement = registry.choose(&request(&[]), NOW).expect("an engine is available");
    assert_eq!(placement.cold, Some(LIMIT));
}

#[test]
fn only_a_newer_entry_changes_coldness() {
    let mut registry = with_limits(registry(&[]));
    registry.upsert(cold("a", WARMUP, 5), NOW);
    registry.upsert(cold("a", Duration::ZERO, 4), NOW);
    assert!(is_cold(&registry, "a", Duration::ZERO));
    registry.upsert(cold("a", Duration::ZERO, 6), NOW);
    assert!(!is_cold(&registry, "a", Duration::ZERO));
    registry.upsert(cold("a", WARMUP, 7), NOW);
    assert!(is_cold(&registry, "a", Duration::ZERO), "an engine may become cold again");
}

#[test]
fn coldness_is_ignored_without_a_service_limit() {
    let mut registry = registry(&[]);
    registry.upsert(cold("a", WARMUP, 1), NOW);
    assert_eq!(registry.choose(&request(&[]), NOW).expect("an engine is available").cold, None);
    assert!(may_send(&registry, "a", None, NOW));
}

/// Engines may have become cold in an evacuated zone without having reported it yet.
#[test]
fn engines_are_assumed_cold_after_an_evacuation() {
    let mut registry = with_limits(registry(&[("a", "z1"), ("b", "z2")]));
    registry.begin_evacuation(Evacuation { zone: Arc::from("z1"), revision: 1 }, NOW);
    let later = NOW + Duration::from_secs(6);
    registry.end_evacuation("z1", 2, later);
    // A delayed report from before, when the engine was not cold.
    registry.upsert(cold("a", Duration::ZERO, 9), later);
    assert!(is_cold(&registry, "a", Duration::from_millis(8_900)));
    assert!(!is_cold(&registry, "a", Duration::from_secs(9)));
    assert!(!is_cold(&registry, "b", Duration::from_secs(6)));
    assert!(!may_send(&registry, "a", None, later));
}

fn ended(age: Duration) -> EndedEvacuation {
    EndedEvacuation { zone: Arc::from("z1"), revision: 2, age }
}

/// Guards against calls without permits from an edge that starts between the end of an evacuation and the reports of the
/// engines that turned cold: it has seen neither the evacuation nor its end.
#[test]
fn engines_are_assumed_cold_by_an_edge_that_starts_after_an_evacuation() {
    let mut registry = with_limits(registry(&[]));
    // The end precedes the start of this edge's clock.
    let change = registry.apply_ended_evacuation(ended(Duration::from_secs(1)), NOW).expect("a change");
    assert_eq!((change.is_evacuated, change.ended_ago), (false, Some(Duration::from_secs(1))));
    registry.upsert(cold("a", Duration::ZERO, 9), NOW);
    registry.upsert(EngineSpec { report: 9, ..spec("b", "z2") }, NOW);
    assert!(!may_send(&registry, "a", None, NOW));
    assert!(may_send(&registry, "b", None, NOW));
    assert!(is_cold(&registry, "a", Duration::from_millis(1_900)));
    assert!(!is_cold(&registry, "a", Duration::from_secs(2)));
}

/// An entry that expired during the evacuation may come back after its end.
#[test]
fn engine_that_appears_after_an_evacuation_is_assumed_cold() {
    let mut registry = with_limits(registry(&[]));
    registry.begin_evacuation(Evacuation { zone: Arc::from("z1"), revision: 1 }, NOW);
    registry.end_evacuation("z1", 2, NOW);
    let later = Duration::from_secs(1);
    registry.upsert(cold("a", Duration::ZERO, 9), NOW + later);
    assert!(is_cold(&registry, "a", later));
    assert!(!is_cold(&registry, "a", WARMUP));
}

/// The configuration may arrive after the engines and the end of the evacuation.
#[test]
fn engines_are_assumed_cold_under_a_limit_set_after_an_evacuation() {
    let mut registry = registry(&[("a", "z1"), ("b", "z2")]);
    registry.apply_ended_evacuation(ended(Duration::ZERO), NOW);
    assert!(may_send(&registry, "a", None, NOW), "there is no limit yet");
    let registry = with_limits(registry);
    assert!(!may_send(&registry, "a", None, NOW));
    assert!(may_send(&registry, "b", None, NOW));
}

/// An end that is reported again, or an older one, prolongs nothing.
#[test]
fn repeated_end_of_an_evacuation_does_not_prolong_the_cold_time() {
    let mut registry = with_limits(registry(&[("a", "z1")]));
    registry.apply_ended_evacuation(ended(Duration::from_secs(1)), NOW);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(registry.apply_ended_evacuation(ended(Duration::from_secs(2)), later), None);
    let older = EndedEvacuation { revision: 1, ..ended(Duration::ZERO) };
    assert_eq!(registry.apply_ended_evacuation(older, later), None);
    assert!(!is_cold(&registry, "a", Duration::from_secs(2)));
}

#[test]
fn permit_expires() {
    let mut registry = with_limits(registry(&[]));
    registry.upsert(cold("a", WARMUP, 1), NOW);
    let permit = Some(Permit { asked: NOW });
    assert!(!may_send(&registry, "a", None, NOW));
    assert!(may_send(&registry, "a", permit, NOW + PERMIT_VALIDITY));
    assert!(!may_send(&registry, "a", permit, NOW + PERMIT_VALIDITY + Duration::from_millis(1)));
    assert!(may_send(&registry, "a", None, NOW + WARMUP), "the engine is warm by then");
}

/// Guards against calls to an engine that turned cold while a connection to it was set up.
#[test]
fn engine_that_turned_cold_after_the_choice_needs_a_permit() {
    let mut registry = with_limits(registry(&[("a", "z1")]));
    assert_eq!(registry.choose(&request(&[]), NOW).expect("an engine is available").cold, None);
    registry.upsert(cold("a", WARMUP, 2), NOW);
    assert!(!may_send(&registry, "a", None, NOW));
}

#[test]
fn cold_engine_without_permits_is_skipped_until_the_retry_time() {
    let mut registry = with_limits(registry(&[("b", "z2")]));
    registry.upsert(cold("a", WARMUP, 1), NOW);
    // Makes the other engine more expensive than a permit.
    (0..4).for_each(|_| registry.record_sent(&EngineId::new("b"), 0, NOW));
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("a"));
    let retry_at = NOW + Duration::from_millis(100);
    registry.record_permit_denial(&EngineId::new("a"), retry_at);
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("b"));
    assert_eq!(registry.next_permit_at(&request(&[]), NOW), Some(retry_at));
    assert_eq!(chosen(&registry, &request(&[]), retry_at).as_deref(), Some("a"));
    assert_eq!(registry.next_permit_at(&request(&[]), retry_at), None);
}

#[test]
fn cold_engines_get_no_calls_if_permits_are_disabled() {
    let mut registry = with_limits(registry_without(&[Mechanism::ColdPermits], &[("b", "z2")]));
    registry.upsert(cold("a", WARMUP, 1), NOW);
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("b"));
    assert_eq!(chosen(&registry, &request(&[]), NOW + WARMUP).as_deref(), Some("a"));
}

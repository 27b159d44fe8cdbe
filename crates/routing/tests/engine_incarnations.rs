//! Engines that restart under the same name: state of the earlier incarnation does not apply to the later one, and
//! reports of the earlier one no longer count.

mod engine_fixtures;

use std::time::Duration;

use engine_fixtures::{NOW, chosen, registry, request, spec, turn};
use sumacdrift_calls::{EngineId, EngineStart};
use sumacdrift_fleet_view::{CachedPart, EngineLoad, Loads, engine_key};
use sumacdrift_routing::{EngineRegistry, EngineSpec, EntryChange, Outcome, RequiredPart};

fn incarnation(name: &str, start: u64) -> EngineId {
    EngineId::started(name, EngineStart { unix_millis: start })
}

fn entry(name: &str, start: u64, report: u64) -> EngineSpec {
    EngineSpec { id: incarnation(name, start), report, ..spec(name, "z1") }
}

/// An engine started at 1,000 whose report number is high.
fn registry_with_engine() -> EngineRegistry {
    let mut registry = registry(&[]);
    registry.upsert(entry("a", 1_000, 900), NOW);
    registry
}

#[test]
fn later_incarnation_with_a_lower_report_number_is_applied() {
    let mut registry = registry_with_engine();
    let restarted = EngineSpec { slots: 9, ..entry("a", 2_000, 1) };
    assert_eq!(registry.upsert(restarted, NOW), EntryChange::Restarted);
    assert_eq!(registry.spec(&incarnation("a", 2_000)).map(|spec| spec.slots), Some(9));
    assert_eq!(registry.usable("s", NOW), 1);
}

#[test]
fn earlier_incarnation_never_replaces_a_later_one() {
    let mut registry = registry_with_engine();
    registry.upsert(entry("a", 2_000, 1), NOW);
    assert_eq!(registry.upsert(entry("a", 1_000, 901), NOW), EntryChange::Unchanged);
    let placement = registry.choose(&request(&[]), NOW).expect("an engine is available");
    assert_eq!(placement.engine, incarnation("a", 2_000));
}

#[test]
fn draining_engine_gets_work_after_a_restart() {
    let mut registry = registry_with_engine();
    registry.upsert(EngineSpec { is_draining: true, ..entry("a", 1_000, 901) }, NOW);
    assert_eq!(registry.usable("s", NOW), 0);
    registry.upsert(entry("a", 2_000, 1), NOW);
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("a"));
}

#[test]
fn engine_is_used_again_when_its_entry_returns() {
    let mut registry = registry_with_engine();
    assert!(registry.remove(&EngineId::new("a"), NOW));
    registry.upsert(entry("a", 2_000, 1), NOW);
    assert_eq!(registry.usable("s", NOW), 1);
    // Entries are removed by name, whatever the incarnation that wrote them.
    assert!(registry.remove(&EngineId::new("a"), NOW));
    assert_eq!(registry.usable("s", NOW), 0);
}

#[test]
fn failures_do_not_carry_over_to_a_new_incarnation() {
    let mut registry = registry_with_engine();
    registry.upsert(entry("b", 1_000, 1), NOW);
    for _ in 0..4 {
        registry.record_sent(&incarnation("a", 1_000), 0, NOW);
        registry.record_outcome(&incarnation("a", 1_000), Outcome::Unreachable, NOW);
    }
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("b"));
    registry.upsert(entry("a", 2_000, 1), NOW);
    let avoided = [incarnation("b", 1_000)];
    let placement = registry.choose(&request(&avoided), NOW).expect("an engine is available");
    assert_eq!(placement.engine, incarnation("a", 2_000));
    // The new incarnation has its own health: one failure is not enough to avoid it.
    registry.record_sent(&incarnation("a", 2_000), 0, NOW);
    assert!(!registry.record_outcome(&incarnation("a", 2_000), Outcome::Unreachable, NOW));
}

#[test]
fn calls_in_flight_do_not_carry_over_to_a_new_incarnation() {
    let mut registry = registry_with_engine();
    registry.upsert(entry("b", 1_000, 1), NOW);
    for _ in 0..4 {
        registry.record_sent(&incarnation("a", 1_000), 500, NOW);
    }
    registry.record_sent(&incarnation("b", 1_000), 0, NOW);
    registry.upsert(entry("a", 2_000, 1), NOW);
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("a"));
    // The old calls end now, without an effect on those of the new incarnation.
    for _ in 0..3 {
        registry.record_sent(&incarnation("a", 2_000), 0, NOW);
    }
    for _ in 0..4 {
        registry.record_outcome(&incarnation("a", 1_000), Outcome::Unreachable, NOW);
    }
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("b"));
}

#[test]
fn cached_prompts_do_not_carry_over_to_a_new_incarnation() {
    let mut registry = registry_with_engine();
    registry.upsert(entry("b", 1_000, 1), NOW);
    let part = [RequiredPart { part: 7, tokens: 50_000 }];
    let cached = |incarnation: &EngineId| CachedPart {
        part: 7,
        engine: engine_key(&incarnation.incarnation_text()),
        tokens: 50_000,
    };
    registry.record_cached_part(cached(&incarnation("a", 1_000)), NOW);
    assert_eq!(chosen(&registry, &turn(1, &part), NOW).as_deref(), Some("a"));
    registry.upsert(entry("a", 2_000, 1), NOW);
    registry.record_cached_part(cached(&incarnation("b", 1_000)), NOW);
    assert_eq!(chosen(&registry, &turn(1, &part), NOW).as_deref(), Some("b"));
}

#[test]
fn peer_load_does_not_carry_over_to_a_new_incarnation() {
    let mut registry = registry_with_engine();
    registry.upsert(entry("b", 1_000, 1), NOW);
    let load = EngineLoad {
        engine: engine_key(&incarnation("a", 1_000).incarnation_text()),
        running: 50,
        ..EngineLoad::default()
    };
    let other = EngineLoad {
        engine: engine_key(&incarnation("b", 1_000).incarnation_text()),
        running: 2,
        ..EngineLoad::default()
    };
    registry.upsert(entry("a", 2_000, 1), NOW);
    registry.apply_peer_loads(&Loads { engines: vec![load, other] }, NOW);
    assert_eq!(chosen(&registry, &request(&[]), NOW).as_deref(), Some("a"));
}

#[test]
fn listing_with_an_earlier_incarnation_keeps_the_later_one() {
    let mut registry = registry_with_engine();
    registry.upsert(entry("a", 2_000, 1), NOW);
    registry.replace_all(vec![entry("a", 1_000, 950)], Duration::ZERO, NOW);
    let placement = registry.choose(&request(&[]), NOW).expect("an engine is available");
    assert_eq!(placement.engine, incarnation("a", 2_000));
    assert_eq!(registry.usable("s", NOW), 1);
}

#[test]
fn leaving_report_counts_when_the_clock_stepped_back() {
    let mut registry = registry_with_engine();
    let draining = EngineSpec { is_draining: true, ..entry("a", 400, 3) };
    assert_eq!(registry.upsert(draining, NOW), EntryChange::EarlierIncarnationDraining);
    assert_eq!(registry.usable("s", NOW), 0);
    // The later incarnation still runs and reports again.
    registry.upsert(entry("a", 1_000, 901), NOW);
    assert_eq!(registry.usable("s", NOW), 1);
}

#[test]
fn earlier_incarnations_are_evicted() {
    let mut registry = registry_with_engine();
    for start in 2..50 {
        registry.upsert(entry("a", start * 1_000, 1), NOW);
    }
    let later = NOW + Duration::from_secs(60);
    registry.evict_gone(later, Duration::from_secs(10));
    assert_eq!(registry.len(), 1);
}

/// Guards against taking an engine for one that leaves after its entry was only away, or can't be read, or is a successor's.
#[test]
fn an_engine_is_leaving_from_its_announcement_until_its_entry_returns() {
    let mut registry = registry_with_engine();
    let id = incarnation("a", 1_000);
    let (removed, drained) = (NOW + Duration::from_secs(1), NOW + Duration::from_secs(2));
    assert_eq!(registry.leaving_since(&id), None);
    registry.remove(&id, removed);
    assert_eq!(registry.leaving_since(&id), Some(removed));
    registry.upsert(entry("a", 1_000, 902), NOW);
    assert_eq!(registry.leaving_since(&id), None);
    registry.withdraw(&id, removed);
    assert_eq!(registry.leaving_since(&id), None);
    let draining = EngineSpec { is_draining: true, ..entry("a", 1_000, 903) };
    registry.upsert(draining, drained);
    registry.remove(&id, drained + Duration::from_secs(1));
    assert_eq!(registry.leaving_since(&id), Some(drained));
    registry.upsert(entry("a", 2_000, 1), drained + Duration::from_secs(2));
    assert_eq!(registry.leaving_since(&id), Some(drained));
    assert_eq!(registry.leaving_since(&incarnation("a", 2_000)), None);
}

#[test]
fn engines_that_drained_and_left_are_evicted() {
    let mut registry = registry(&[]);
    for number in 0..50 {
        let name = format!("e{number}");
        registry.upsert(entry(&name, 1_000, 1), NOW);
        registry.upsert(EngineSpec { is_draining: true, ..entry(&name, 1_000, 2) }, NOW);
        registry.remove(&incarnation(&name, 1_000), NOW + Duration::from_secs(3));
    }
    registry.evict_gone(NOW + Duration::from_secs(60), Duration::from_secs(30));
    assert_eq!(registry.len(), 0);
}

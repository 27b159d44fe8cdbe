//! Capacity of a service's engines.

mod engine_fixtures;

use std::time::Duration;

use engine_fixtures::{NOW, registry, spec};
use sumacdrift_calls::EngineId;
use sumacdrift_fleet_view::{EngineLoad, Loads, engine_key};
use sumacdrift_routing::{EngineSpec, Evacuation, Outcome};

const ENGINES: [(&str, &str); 3] = [("a", "z1"), ("b", "z1"), ("c", "z2")];

#[test]
fn unavailable_engines_add_no_capacity() {
    let mut registry = registry(&ENGINES);
    assert_eq!(registry.capacity("s", NOW).slots, 12);
    assert_eq!(registry.capacity("another", NOW).slots, 0);
    registry.upsert(EngineSpec { is_draining: true, report: 2, ..spec("a", "z1") }, NOW);
    assert_eq!(registry.capacity("s", NOW).slots, 8);
    let failing = EngineId::new("b");
    for _ in 0..2 {
        registry.record_sent(&failing, 0, NOW);
        registry.record_outcome(&failing, Outcome::Faulty, NOW);
    }
    assert_eq!(registry.capacity("s", NOW).slots, 4);
    registry.begin_evacuation(Evacuation { zone: "z2".into(), revision: 1 }, NOW);
    assert_eq!(registry.capacity("s", NOW).slots, 0);
}

#[test]
fn interchangeable_engines_add_capacity() {
    let mut registry = registry(&ENGINES);
    registry.regroup_interchangeable(|_| false, NOW);
    assert_eq!(registry.capacity("s", NOW).slots, 12);
    registry.begin_evacuation(Evacuation { zone: "z1".into(), revision: 1 }, NOW);
    assert_eq!(registry.capacity("s", NOW).slots, 4);
}

#[test]
fn peer_calls_count_until_the_report_expires() {
    let mut registry = registry(&ENGINES);
    assert_eq!(registry.capacity("s", NOW).peer_report_age, None);
    let load = EngineLoad { engine: engine_key("a"), running: 3, ..EngineLoad::default() };
    registry.apply_peer_loads(&Loads { engines: vec![load] }, NOW);
    let soon = NOW + Duration::from_millis(100);
    let capacity = registry.capacity("s", soon);
    assert!((capacity.peer_running - 3.0).abs() < 0.001, "{capacity:?}");
    assert_eq!(capacity.peer_report_age, Some(Duration::from_millis(100)));
    let expired = registry.capacity("s", NOW + Duration::from_secs(5));
    assert_eq!((expired.peer_running, expired.peer_report_age), (0.0, None));
}

/// Guards against counting peers' calls at engines that this node can't use against the capacity of the others.
#[test]
fn peer_calls_at_avoided_engines_use_no_capacity() {
    let mut registry = registry(&ENGINES);
    let load = |engine| EngineLoad { engine: engine_key(engine), running: 3, ..EngineLoad::default() };
    registry.apply_peer_loads(&Loads { engines: vec![load("a"), load("b"), load("c")] }, NOW);
    assert!((registry.capacity("s", NOW).peer_share - 1.0).abs() < 0.001);
    let failing = EngineId::new("b");
    for _ in 0..2 {
        registry.record_sent(&failing, 0, NOW);
        registry.record_outcome(&failing, Outcome::Faulty, NOW);
    }
    let capacity = registry.capacity("s", NOW);
    assert_eq!(capacity.slots, 8);
    assert!((capacity.peer_running - 6.0).abs() < 0.001, "{capacity:?}");
    assert!((capacity.peer_share - 2.0 / 3.0).abs() < 0.001, "{capacity:?}");
}

//! Breaks each rule of the choice among engines once: the checks must detect it.
#![cfg(feature = "mutants")]

mod engine_fixtures;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use engine_fixtures::{NOW, chosen, may_send, registry, request, spec};
use sumacdrift_calls::{EngineId, EngineVersion};
use sumacdrift_mutants::{Rule, with_broken};
use sumacdrift_routing::{ColdLimit, EngineRegistry, EngineSpec, Evacuation, PlacementRequest};
use sumacdrift_types::{AllowedRegions, RegionName};

fn evacuation(revision: u64) -> Evacuation {
    Evacuation { zone: Arc::from("z1"), revision }
}

fn chooses_evacuated_engine() -> bool {
    let mut registry = registry(&[("a", "z1")]);
    registry.begin_evacuation(evacuation(5), NOW);
    chosen(&registry, &request(&[]), NOW).is_some()
}

fn applies_stale_listing() -> bool {
    let mut registry = registry(&[("a", "z1")]);
    registry.begin_evacuation(evacuation(8), NOW);
    registry.set_evacuations(Vec::new(), 7, NOW);
    may_send(&registry, "a", None, NOW)
}

fn cold_registry() -> EngineRegistry {
    let mut registry = registry(&[("a", "z1")]);
    let limit = ColdLimit { warmup: Duration::from_secs(3), calls_per_second: 26.0 };
    registry.set_cold_limits(HashMap::from([(Arc::from("s"), limit)]));
    registry
}

fn treats_returning_engine_as_warm() -> bool {
    let mut registry = cold_registry();
    registry.begin_evacuation(evacuation(5), NOW);
    registry.end_evacuation("z1", 6, NOW);
    registry.cold_limit(&EngineId::new("a"), NOW).is_none()
}

fn sends_to_cold_engine_without_permit() -> bool {
    let mut registry = cold_registry();
    registry.upsert(EngineSpec { warmup_left: Duration::from_secs(3), report: 2, ..spec("a", "z1") }, NOW);
    may_send(&registry, "a", None, NOW)
}

fn serves_call_outside_its_regions() -> bool {
    let west = AllowedRegions::new([RegionName::new("west").expect("a valid region name")]);
    let registry = registry(&[("a", "z1")]);
    chosen(&registry, &PlacementRequest { regions: &west, ..request(&[]) }, NOW).is_some()
}

fn continues_stream_at_another_version() -> bool {
    let registry = registry(&[("a", "z1")]);
    let other = EngineVersion::new("other");
    chosen(&registry, &PlacementRequest { version: Some(&other), ..request(&[]) }, NOW).is_some()
}

#[test]
fn every_broken_rule_is_detected() {
    assert!(!chooses_evacuated_engine() && !applies_stale_listing());
    assert!(!serves_call_outside_its_regions() && !continues_stream_at_another_version());
    assert!(!treats_returning_engine_as_warm() && !sends_to_cold_engine_without_permit());
    for rule in Rule::ROUTING {
        let is_detected = with_broken(rule, || match rule {
            Rule::EvacuatedZonesGetNoCalls => chooses_evacuated_engine(),
            Rule::EvacuationRevisionsCount => applies_stale_listing(),
            Rule::EvacuatedEnginesBecomeCold => treats_returning_engine_as_warm(),
            Rule::ColdEnginesNeedPermits => sends_to_cold_engine_without_permit(),
            Rule::CallsStayInAllowedRegions => serves_call_outside_its_regions(),
            Rule::StreamsStayAtTheirVersion => continues_stream_at_another_version(),
            other => panic!("{other:?} has no check"),
        });
        assert!(is_detected, "{rule:?} was broken without being detected");
    }
}

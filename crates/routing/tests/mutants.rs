//! Each rule of the choice among engines broken once: the checks must notice.
#![cfg(feature = "mutants")]

mod engines_for_tests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use engines_for_tests::{NOW, book, chosen, may_send, request, spec};
use sumacdrift_calls::EngineId;
use sumacdrift_mutants::{Rule, with_broken};
use sumacdrift_routing::{ColdLimit, EngineBook, EngineSpec, Evacuation, PlacementRequest};
use sumacdrift_types::{AllowedRegions, RegionName};

fn evacuation(revision: u64) -> Evacuation {
    Evacuation { zone: Arc::from("z1"), revision }
}

/// Whether an engine of an evacuated zone is chosen.
fn an_evacuated_engine_is_chosen() -> bool {
    let mut book = book(&[("a", "z1")]);
    book.evacuate(evacuation(5), NOW);
    chosen(&book, &request(&[]), NOW).is_some()
}

/// Whether an old listing takes an evacuation back.
fn an_old_listing_counts() -> bool {
    let mut book = book(&[("a", "z1")]);
    book.evacuate(evacuation(8), NOW);
    book.set_evacuations(Vec::new(), 7, NOW);
    may_send(&book, "a", None, NOW)
}

fn cold_book() -> EngineBook {
    let mut book = book(&[("a", "z1")]);
    let limit = ColdLimit { lasts: Duration::from_secs(3), calls_per_second: 26.0 };
    book.set_cold_limits(HashMap::from([(Arc::from("s"), limit)]));
    book
}

/// Whether an engine whose zone is taken back counts as warm.
fn a_returning_engine_is_warm() -> bool {
    let mut book = cold_book();
    book.evacuate(evacuation(5), NOW);
    book.end_evacuation("z1", 6, NOW);
    book.cold_limit(&EngineId::new("a"), NOW).is_none()
}

/// Whether a cold engine gets a call without a permit.
fn a_cold_engine_needs_no_permit() -> bool {
    let mut book = cold_book();
    book.upsert(EngineSpec { cold_left: Duration::from_secs(3), report: 2, ..spec("a", "z1") }, NOW);
    may_send(&book, "a", None, NOW)
}

/// Whether a call that is bound to another region is served here.
fn a_bound_call_is_served_elsewhere() -> bool {
    let west = AllowedRegions::only([RegionName::new("west").expect("a name")]);
    let book = book(&[("a", "z1")]);
    chosen(&book, &PlacementRequest { regions: &west, ..request(&[]) }, NOW).is_some()
}

#[test]
fn every_broken_rule_is_noticed() {
    assert!(!an_evacuated_engine_is_chosen() && !an_old_listing_counts());
    assert!(!a_bound_call_is_served_elsewhere());
    assert!(!a_returning_engine_is_warm() && !a_cold_engine_needs_no_permit());
    for rule in Rule::ROUTING {
        let is_noticed = with_broken(rule, || match rule {
            Rule::EvacuatedZonesGetNothing => an_evacuated_engine_is_chosen(),
            Rule::EvacuationRevisionsCount => an_old_listing_counts(),
            Rule::EvacuatedEnginesComeBackCold => a_returning_engine_is_warm(),
            Rule::ColdEnginesNeedPermits => a_cold_engine_needs_no_permit(),
            Rule::WorkStaysInItsRegions => a_bound_call_is_served_elsewhere(),
            other => panic!("{other:?} has no check"),
        });
        assert!(is_noticed, "{rule:?} was broken and nothing noticed");
    }
}

//! Each rule of the choice among engines broken once: the checks must notice.
#![cfg(feature = "mutants")]

mod engines_for_tests;

use std::sync::Arc;

use engines_for_tests::{NOW, book, chosen, request};
use sumacdrift_calls::EngineId;
use sumacdrift_mutants::{Rule, with_broken};
use sumacdrift_routing::Evacuation;

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
    book.may_send(&EngineId::new("a"))
}

#[test]
fn every_broken_rule_is_noticed() {
    assert!(!an_evacuated_engine_is_chosen() && !an_old_listing_counts());
    for rule in Rule::ROUTING {
        let is_noticed = with_broken(rule, || match rule {
            Rule::EvacuatedZonesGetNothing => an_evacuated_engine_is_chosen(),
            Rule::EvacuationRevisionsCount => an_old_listing_counts(),
            other => panic!("{other:?} has no check"),
        });
        assert!(is_noticed, "{rule:?} was broken and nothing noticed");
    }
}

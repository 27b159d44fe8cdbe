//! Engines that start again under the name that they had: nothing that was believed of the earlier life holds for the
//! younger one, and nothing that the earlier one says counts any more.

mod engines_for_tests;

use std::time::Duration;

use engines_for_tests::{NOW, book, chosen, request, spec, turn};
use sumacdrift_calls::{EngineId, EngineStart};
use sumacdrift_fleet_view::{EngineLoad, Loads, PartHeld, engine_key};
use sumacdrift_routing::{EngineBook, EngineSpec, EntryChange, Outcome, PartNeed};

fn life(name: &str, start: u64) -> EngineId {
    EngineId::started(name, EngineStart { unix_millis: start })
}

/// The entry of a life of an engine.
fn entry(name: &str, start: u64, report: u64) -> EngineSpec {
    EngineSpec { id: life(name, start), report, ..spec(name, "z1") }
}

/// An engine that began at 1,000 and has reported often.
fn known() -> EngineBook {
    let mut book = book(&[]);
    book.upsert(entry("a", 1_000, 900), NOW);
    book
}

#[test]
fn a_lower_count_of_a_younger_life_is_news() {
    let mut book = known();
    let started = EngineSpec { slots: 9, ..entry("a", 2_000, 1) };
    assert_eq!(book.upsert(started, NOW), EntryChange::StartedAgain);
    assert_eq!(book.spec(&life("a", 2_000)).map(|spec| spec.slots), Some(9));
    assert_eq!(book.usable("s", NOW), 1);
}

#[test]
fn an_earlier_life_never_replaces_a_younger_one_whatever_its_count() {
    let mut book = known();
    book.upsert(entry("a", 2_000, 1), NOW);
    assert_eq!(book.upsert(entry("a", 1_000, 901), NOW), EntryChange::Nothing);
    let placed = book.choose(&request(&[]), NOW).expect("an engine");
    assert_eq!(placed.engine, life("a", 2_000));
}

#[test]
fn an_engine_that_was_leaving_takes_work_in_its_next_life() {
    let mut book = known();
    book.upsert(EngineSpec { is_leaving: true, ..entry("a", 1_000, 901) }, NOW);
    assert_eq!(book.usable("s", NOW), 0);
    book.upsert(entry("a", 2_000, 1), NOW);
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("a"));
}

#[test]
fn an_engine_whose_entry_went_is_used_when_it_is_there_again() {
    let mut book = known();
    assert!(book.remove(&EngineId::new("a"), NOW));
    book.upsert(entry("a", 2_000, 1), NOW);
    assert_eq!(book.usable("s", NOW), 1);
    // The entry goes by the engine's name, whichever life wrote it.
    assert!(book.remove(&EngineId::new("a"), NOW));
    assert_eq!(book.usable("s", NOW), 0);
}

#[test]
fn failures_of_the_earlier_life_say_nothing_of_the_younger_one() {
    let mut book = known();
    book.upsert(entry("b", 1_000, 1), NOW);
    for _ in 0..4 {
        book.sent(&life("a", 1_000), 0, NOW);
        book.ended(&life("a", 1_000), Outcome::Unreachable, NOW);
    }
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("b"));
    book.upsert(entry("a", 2_000, 1), NOW);
    let avoided = [life("b", 1_000)];
    let placed = book.choose(&request(&avoided), NOW).expect("an engine");
    assert_eq!(placed.engine, life("a", 2_000));
    // Its health is its own: more failures are needed until it is avoided.
    book.sent(&life("a", 2_000), 0, NOW);
    assert!(!book.ended(&life("a", 2_000), Outcome::Unreachable, NOW));
}

#[test]
fn calls_that_ran_at_the_earlier_life_take_no_place_of_the_younger_one() {
    let mut book = known();
    book.upsert(entry("b", 1_000, 1), NOW);
    for _ in 0..4 {
        book.sent(&life("a", 1_000), 500, NOW);
    }
    book.sent(&life("b", 1_000), 0, NOW);
    book.upsert(entry("a", 2_000, 1), NOW);
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("a"));
    // They end now, and don't count against the calls that the younger one gets.
    for _ in 0..3 {
        book.sent(&life("a", 2_000), 0, NOW);
    }
    for _ in 0..4 {
        book.ended(&life("a", 1_000), Outcome::Unreachable, NOW);
    }
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("b"));
}

#[test]
fn prompts_that_the_earlier_life_held_are_gone() {
    let mut book = known();
    book.upsert(entry("b", 1_000, 1), NOW);
    let part = [PartNeed { part: 7, tokens: 50_000 }];
    let held = |life: &EngineId| PartHeld { part: 7, engine: engine_key(&life.life_text()), tokens: 50_000 };
    book.holds(held(&life("a", 1_000)), NOW);
    assert_eq!(chosen(&book, &turn(1, &part), NOW).as_deref(), Some("a"));
    book.upsert(entry("a", 2_000, 1), NOW);
    book.holds(held(&life("b", 1_000)), NOW);
    assert_eq!(chosen(&book, &turn(1, &part), NOW).as_deref(), Some("b"));
}

#[test]
fn what_other_nodes_told_of_the_earlier_life_is_not_the_younger_ones_load() {
    let mut book = known();
    book.upsert(entry("b", 1_000, 1), NOW);
    let load = EngineLoad {
        engine: engine_key(&life("a", 1_000).life_text()),
        running: 50,
        ..EngineLoad::default()
    };
    let other =
        EngineLoad { engine: engine_key(&life("b", 1_000).life_text()), running: 2, ..EngineLoad::default() };
    book.upsert(entry("a", 2_000, 1), NOW);
    book.others_told(&Loads { engines: vec![load, other] }, NOW);
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("a"));
}

#[test]
fn a_list_with_the_earlier_lifes_entry_keeps_the_younger_one() {
    let mut book = known();
    book.upsert(entry("a", 2_000, 1), NOW);
    book.replace_all(vec![entry("a", 1_000, 950)], Duration::ZERO, NOW);
    let placed = book.choose(&request(&[]), NOW).expect("an engine");
    assert_eq!(placed.engine, life("a", 2_000));
    assert_eq!(book.usable("s", NOW), 1);
}

#[test]
fn where_clocks_stepped_back_an_engine_that_says_it_leaves_gets_nothing_new() {
    let mut book = known();
    let leaving = EngineSpec { is_leaving: true, ..entry("a", 400, 3) };
    assert_eq!(book.upsert(leaving, NOW), EntryChange::EarlierLifeLeaves);
    assert_eq!(book.usable("s", NOW), 0);
    // The younger life is there after all, and says so.
    book.upsert(entry("a", 1_000, 901), NOW);
    assert_eq!(book.usable("s", NOW), 1);
}

#[test]
fn earlier_lives_are_forgotten() {
    let mut book = known();
    for start in 2..50 {
        book.upsert(entry("a", start * 1_000, 1), NOW);
    }
    let later = NOW + Duration::from_secs(60);
    book.forget_gone(later, Duration::from_secs(10));
    assert_eq!(book.len(), 1);
}

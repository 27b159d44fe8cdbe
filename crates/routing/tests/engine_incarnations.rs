//! Engines that restart under the same name: state of the earlier incarnation does not apply to the later one, and
//! reports of the earlier one no longer count.

mod engine_fixtures;

use std::time::Duration;

use engine_fixtures::{NOW, book, chosen, request, spec, turn};
use sumacdrift_calls::{EngineId, EngineStart};
use sumacdrift_fleet_view::{EngineLoad, Loads, PartHeld, engine_key};
use sumacdrift_routing::{EngineBook, EngineSpec, EntryChange, Outcome, PartNeed};

fn incarnation(name: &str, start: u64) -> EngineId {
    EngineId::started(name, EngineStart { unix_millis: start })
}

fn entry(name: &str, start: u64, report: u64) -> EngineSpec {
    EngineSpec { id: incarnation(name, start), report, ..spec(name, "z1") }
}

/// An engine started at 1,000 whose report number is high.
fn book_with_engine() -> EngineBook {
    let mut book = book(&[]);
    book.upsert(entry("a", 1_000, 900), NOW);
    book
}

#[test]
fn later_incarnation_with_a_lower_report_number_is_applied() {
    let mut book = book_with_engine();
    let restarted = EngineSpec { slots: 9, ..entry("a", 2_000, 1) };
    assert_eq!(book.upsert(restarted, NOW), EntryChange::StartedAgain);
    assert_eq!(book.spec(&incarnation("a", 2_000)).map(|spec| spec.slots), Some(9));
    assert_eq!(book.usable("s", NOW), 1);
}

#[test]
fn earlier_incarnation_never_replaces_a_later_one() {
    let mut book = book_with_engine();
    book.upsert(entry("a", 2_000, 1), NOW);
    assert_eq!(book.upsert(entry("a", 1_000, 901), NOW), EntryChange::Nothing);
    let placed = book.choose(&request(&[]), NOW).expect("an engine is available");
    assert_eq!(placed.engine, incarnation("a", 2_000));
}

#[test]
fn draining_engine_gets_work_after_a_restart() {
    let mut book = book_with_engine();
    book.upsert(EngineSpec { is_leaving: true, ..entry("a", 1_000, 901) }, NOW);
    assert_eq!(book.usable("s", NOW), 0);
    book.upsert(entry("a", 2_000, 1), NOW);
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("a"));
}

#[test]
fn engine_is_used_again_when_its_entry_returns() {
    let mut book = book_with_engine();
    assert!(book.remove(&EngineId::new("a"), NOW));
    book.upsert(entry("a", 2_000, 1), NOW);
    assert_eq!(book.usable("s", NOW), 1);
    // Entries are removed by name, whatever the incarnation that wrote them.
    assert!(book.remove(&EngineId::new("a"), NOW));
    assert_eq!(book.usable("s", NOW), 0);
}

#[test]
fn failures_do_not_carry_over_to_a_new_incarnation() {
    let mut book = book_with_engine();
    book.upsert(entry("b", 1_000, 1), NOW);
    for _ in 0..4 {
        book.sent(&incarnation("a", 1_000), 0, NOW);
        book.ended(&incarnation("a", 1_000), Outcome::Unreachable, NOW);
    }
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("b"));
    book.upsert(entry("a", 2_000, 1), NOW);
    let avoided = [incarnation("b", 1_000)];
    let placed = book.choose(&request(&avoided), NOW).expect("an engine is available");
    assert_eq!(placed.engine, incarnation("a", 2_000));
    // The new incarnation has its own health: one failure is not enough to avoid it.
    book.sent(&incarnation("a", 2_000), 0, NOW);
    assert!(!book.ended(&incarnation("a", 2_000), Outcome::Unreachable, NOW));
}

#[test]
fn calls_in_flight_do_not_carry_over_to_a_new_incarnation() {
    let mut book = book_with_engine();
    book.upsert(entry("b", 1_000, 1), NOW);
    for _ in 0..4 {
        book.sent(&incarnation("a", 1_000), 500, NOW);
    }
    book.sent(&incarnation("b", 1_000), 0, NOW);
    book.upsert(entry("a", 2_000, 1), NOW);
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("a"));
    // The old calls end now, without an effect on those of the new incarnation.
    for _ in 0..3 {
        book.sent(&incarnation("a", 2_000), 0, NOW);
    }
    for _ in 0..4 {
        book.ended(&incarnation("a", 1_000), Outcome::Unreachable, NOW);
    }
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("b"));
}

#[test]
fn cached_prompts_do_not_carry_over_to_a_new_incarnation() {
    let mut book = book_with_engine();
    book.upsert(entry("b", 1_000, 1), NOW);
    let part = [PartNeed { part: 7, tokens: 50_000 }];
    let held = |incarnation: &EngineId| PartHeld {
        part: 7,
        engine: engine_key(&incarnation.life_text()),
        tokens: 50_000,
    };
    book.holds(held(&incarnation("a", 1_000)), NOW);
    assert_eq!(chosen(&book, &turn(1, &part), NOW).as_deref(), Some("a"));
    book.upsert(entry("a", 2_000, 1), NOW);
    book.holds(held(&incarnation("b", 1_000)), NOW);
    assert_eq!(chosen(&book, &turn(1, &part), NOW).as_deref(), Some("b"));
}

#[test]
fn peer_load_does_not_carry_over_to_a_new_incarnation() {
    let mut book = book_with_engine();
    book.upsert(entry("b", 1_000, 1), NOW);
    let load = EngineLoad {
        engine: engine_key(&incarnation("a", 1_000).life_text()),
        running: 50,
        ..EngineLoad::default()
    };
    let other = EngineLoad {
        engine: engine_key(&incarnation("b", 1_000).life_text()),
        running: 2,
        ..EngineLoad::default()
    };
    book.upsert(entry("a", 2_000, 1), NOW);
    book.others_told(&Loads { engines: vec![load, other] }, NOW);
    assert_eq!(chosen(&book, &request(&[]), NOW).as_deref(), Some("a"));
}

#[test]
fn listing_with_an_earlier_incarnation_keeps_the_later_one() {
    let mut book = book_with_engine();
    book.upsert(entry("a", 2_000, 1), NOW);
    book.replace_all(vec![entry("a", 1_000, 950)], Duration::ZERO, NOW);
    let placed = book.choose(&request(&[]), NOW).expect("an engine is available");
    assert_eq!(placed.engine, incarnation("a", 2_000));
    assert_eq!(book.usable("s", NOW), 1);
}

#[test]
fn leaving_report_counts_when_the_clock_stepped_back() {
    let mut book = book_with_engine();
    let leaving = EngineSpec { is_leaving: true, ..entry("a", 400, 3) };
    assert_eq!(book.upsert(leaving, NOW), EntryChange::EarlierLifeLeaves);
    assert_eq!(book.usable("s", NOW), 0);
    // The later incarnation still runs and reports again.
    book.upsert(entry("a", 1_000, 901), NOW);
    assert_eq!(book.usable("s", NOW), 1);
}

#[test]
fn earlier_incarnations_are_evicted() {
    let mut book = book_with_engine();
    for start in 2..50 {
        book.upsert(entry("a", start * 1_000, 1), NOW);
    }
    let later = NOW + Duration::from_secs(60);
    book.forget_gone(later, Duration::from_secs(10));
    assert_eq!(book.len(), 1);
}

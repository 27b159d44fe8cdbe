//! The room at the engines of a service.

mod engines_for_tests;

use std::time::Duration;

use engines_for_tests::{NOW, book, spec};
use sumacdrift_calls::EngineId;
use sumacdrift_fleet_view::{EngineLoad, Loads, engine_key};
use sumacdrift_routing::{EngineSpec, Evacuation, Outcome};

const THREE: [(&str, &str); 3] = [("a", "z1"), ("b", "z1"), ("c", "z2")];

#[test]
fn engines_that_take_no_new_work_are_no_room() {
    let mut book = book(&THREE);
    assert_eq!(book.room("s", NOW).slots, 12);
    assert_eq!(book.room("another", NOW).slots, 0);
    book.upsert(EngineSpec { is_leaving: true, report: 2, ..spec("a", "z1") }, NOW);
    assert_eq!(book.room("s", NOW).slots, 8);
    let failing = EngineId::new("b");
    for _ in 0..2 {
        book.sent(&failing, 0, NOW);
        book.ended(&failing, Outcome::Faulty, NOW);
    }
    assert_eq!(book.room("s", NOW).slots, 4);
    book.evacuate(Evacuation { zone: "z2".into(), revision: 1 }, NOW);
    assert_eq!(book.room("s", NOW).slots, 0);
}

#[test]
fn engines_of_which_nothing_is_known_are_room() {
    let mut book = book(&THREE);
    book.settle(|_| false, NOW);
    assert_eq!(book.room("s", NOW).slots, 12);
    book.evacuate(Evacuation { zone: "z1".into(), revision: 1 }, NOW);
    assert_eq!(book.room("s", NOW).slots, 4);
}

#[test]
fn calls_of_other_nodes_count_for_as_long_as_they_are_told() {
    let mut book = book(&THREE);
    assert_eq!(book.room("s", NOW).others_age, None);
    let load = EngineLoad { engine: engine_key("a"), running: 3, ..EngineLoad::default() };
    book.others_told(&Loads { engines: vec![load] }, NOW);
    let soon = NOW + Duration::from_millis(100);
    let room = book.room("s", soon);
    assert!((room.others_running - 3.0).abs() < 0.001, "{room:?}");
    assert_eq!(room.others_age, Some(Duration::from_millis(100)));
    let late = book.room("s", NOW + Duration::from_secs(5));
    assert_eq!((late.others_running, late.others_age), (0.0, None));
}

/// A node that reaches only some engines shares them with the calls that are there, not with all of the service's.
#[test]
fn calls_at_engines_that_this_node_avoids_take_no_room_here() {
    let mut book = book(&THREE);
    let load = |engine| EngineLoad { engine: engine_key(engine), running: 3, ..EngineLoad::default() };
    book.others_told(&Loads { engines: vec![load("a"), load("b"), load("c")] }, NOW);
    assert!((book.room("s", NOW).others_share - 1.0).abs() < 0.001);
    let failing = EngineId::new("b");
    for _ in 0..2 {
        book.sent(&failing, 0, NOW);
        book.ended(&failing, Outcome::Faulty, NOW);
    }
    let room = book.room("s", NOW);
    assert_eq!(room.slots, 8);
    assert!((room.others_running - 6.0).abs() < 0.001, "{room:?}");
    assert!((room.others_share - 2.0 / 3.0).abs() < 0.001, "{room:?}");
}

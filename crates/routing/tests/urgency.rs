//! The order of turns at a full engine.

use std::collections::BTreeSet;
use std::time::Duration;

use sumacdrift_routing::{UrgencyFacts, urgency};

fn facts(priority: u32, program_hash: u64) -> UrgencyFacts {
    UrgencyFacts {
        priority,
        program_hash,
        program_time_left: Some(Duration::from_secs(2)),
        usual_time: Some(Duration::from_millis(400)),
    }
}

#[test]
fn a_program_keeps_its_place_and_programs_differ() {
    let places: BTreeSet<u8> = (0..30).map(|hash| urgency(&facts(0, hash))).collect();
    assert_eq!(places, BTreeSet::from([1, 3, 5]));
    assert_eq!(urgency(&facts(0, 7)), urgency(&facts(0, 7)));
}

#[test]
fn a_higher_class_goes_before_a_lower_one_of_the_same_group() {
    for hash in 0..30 {
        assert!(urgency(&facts(0, hash)) < urgency(&facts(1, hash)));
    }
}

#[test]
fn a_program_that_cannot_be_in_time_waits_behind_all_that_can() {
    let late = UrgencyFacts { program_time_left: Some(Duration::from_millis(200)), ..facts(0, 0) };
    let worst = (0..30).map(|hash| urgency(&facts(1, hash))).max();
    assert!(Some(urgency(&late)) > worst);
}

#[test]
fn a_program_that_names_no_time_is_never_hopeless() {
    let open = UrgencyFacts { program_time_left: None, ..facts(0, 0) };
    assert_eq!(urgency(&open), urgency(&facts(0, 0)));
}

//! Order of turns in the queue of a full engine.

use std::collections::BTreeSet;
use std::time::Duration;

use sumacdrift_routing::{UrgencyInput, urgency};

fn input(priority: u32, program_hash: u64) -> UrgencyInput {
    UrgencyInput {
        priority,
        program_hash,
        program_time_left: Some(Duration::from_secs(2)),
        expected_duration: Some(Duration::from_millis(400)),
    }
}

#[test]
fn urgency_is_stable_per_program_and_differs_between_programs() {
    let urgencies: BTreeSet<u8> = (0..30).map(|hash| urgency(&input(0, hash))).collect();
    assert_eq!(urgencies, BTreeSet::from([1, 3, 5]));
    assert_eq!(urgency(&input(0, 7)), urgency(&input(0, 7)));
}

#[test]
fn higher_class_precedes_lower_class_in_the_same_group() {
    for hash in 0..30 {
        assert!(urgency(&input(0, hash)) < urgency(&input(1, hash)));
    }
}

#[test]
fn program_past_its_deadline_waits_behind_all_others() {
    let late = UrgencyInput { program_time_left: Some(Duration::from_millis(200)), ..input(0, 0) };
    let worst = (0..30).map(|hash| urgency(&input(1, hash))).max();
    assert!(Some(urgency(&late)) > worst);
}

#[test]
fn program_without_deadline_is_never_past_it() {
    let without_deadline = UrgencyInput { program_time_left: None, ..input(0, 0) };
    assert_eq!(urgency(&without_deadline), urgency(&input(0, 0)));
}

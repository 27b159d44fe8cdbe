//! When a machine without a seat takes a member for lost: by what the voting members hear, not by its own watch alone.

mod cut_off;

use std::time::Duration;

use cut_off::{step, takes_the_place_of_a_member_that_others_hear, told};
use sumacdrift_ledger::{MemberTold, MemberWatch, Patience, PlaceStep};
use sumacdrift_types::Timestamp;

const COMPLETE_WITHIN: Duration = Duration::from_secs(4);

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

/// A watch that has just begun, of a and b that have found c silent for so long.
fn watch(silent_at_a: u64, silent_at_b: u64) -> MemberWatch {
    let mut watch = MemberWatch::default();
    watch.answered("a", told(&[("c", silent_at_a)]), at(0));
    watch.answered("b", told(&[("c", silent_at_b)]), at(0));
    watch.silent("c", at(0));
    watch
}

#[test]
fn a_machine_that_has_just_come_takes_the_place_of_a_member_that_others_miss_for_long() {
    let patience = Patience::of_new_machine(COMPLETE_WITHIN);
    assert_eq!(step(&watch(1_000, 1_000), patience, at(0)), PlaceStep::Stay);
    assert_ne!(step(&watch(2_000, 2_000), patience, at(0)), PlaceStep::Stay);
    // What they said grows older with the time since.
    assert_ne!(step(&watch(1_000, 1_000), patience, at(500)), PlaceStep::Stay);
}

#[test]
fn one_member_that_hears_it_is_enough_for_it_to_stay() {
    let patience = Patience::of_new_machine(COMPLETE_WITHIN);
    assert_eq!(step(&watch(60_000, 0), patience, at(0)), PlaceStep::Stay);
    assert!(!takes_the_place_of_a_member_that_others_hear());
}

#[test]
fn only_a_new_machine_takes_a_seat_that_is_offered() {
    let mut watch = MemberWatch::default();
    watch.answered("a", told(&[]), at(0));
    watch.answered("b", told(&[]), at(0));
    watch.answered("c", MemberTold { offers_seat: true, ..told(&[]) }, at(0));
    assert_ne!(step(&watch, Patience::of_new_machine(COMPLETE_WITHIN), at(0)), PlaceStep::Stay);
    assert_eq!(step(&watch, Patience::LONG, at(0)), PlaceStep::Stay);
    // The others must be enough to read everything from.
    watch.answered("b", MemberTold { is_voting: false, ..told(&[]) }, at(0));
    assert_eq!(step(&watch, Patience::of_new_machine(COMPLETE_WITHIN), at(0)), PlaceStep::Stay);
}

#[test]
fn a_machine_that_was_complete_before_waits_longer_than_most_outages() {
    assert_eq!(step(&watch(5_500, 5_500), Patience::LONG, at(0)), PlaceStep::Stay);
    assert_ne!(step(&watch(6_000, 6_000), Patience::LONG, at(0)), PlaceStep::Stay);
}

#[test]
fn a_new_machine_has_most_of_its_time_left_for_reading() {
    let patience = |seconds| Patience::of_new_machine(Duration::from_secs(seconds)).lost_after();
    assert_eq!(patience(4), Duration::from_millis(1_400));
    assert_eq!(patience(15), Duration::from_secs(2));
    // A process that ends is back within a second.
    assert_eq!(patience(1), Duration::from_secs(1));
}

//! Replacement of lost members: decided by the reports of voting members, not only by the machine's own observation.

mod partial_partition;

use std::time::Duration;

use partial_partition::{place_step, replaces_member_reachable_by_others, report};
use sumacdrift_ledger::{MemberTold, MemberWatch, Patience, PlaceStep};
use sumacdrift_types::Timestamp;

const CATCH_UP_DEADLINE: Duration = Duration::from_secs(4);

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

/// Watch of a machine that has just started; `a` and `b` report `c` as unresponsive for these milliseconds.
fn watch(silent_to_a: u64, silent_to_b: u64) -> MemberWatch {
    let mut watch = MemberWatch::default();
    watch.answered("a", report(&[("c", silent_to_a)]), at(0));
    watch.answered("b", report(&[("c", silent_to_b)]), at(0));
    watch.silent("c", at(0));
    watch
}

#[test]
fn new_machine_replaces_member_unresponsive_to_voters() {
    let patience = Patience::of_new_machine(CATCH_UP_DEADLINE);
    assert_eq!(place_step(&watch(1_000, 1_000), patience, at(0)), PlaceStep::Stay);
    assert_ne!(place_step(&watch(2_000, 2_000), patience, at(0)), PlaceStep::Stay);
    // Reported times grow with the age of the report.
    assert_ne!(place_step(&watch(1_000, 1_000), patience, at(500)), PlaceStep::Stay);
}

#[test]
fn member_reachable_by_one_voter_is_not_replaced() {
    let patience = Patience::of_new_machine(CATCH_UP_DEADLINE);
    assert_eq!(place_step(&watch(60_000, 0), patience, at(0)), PlaceStep::Stay);
    assert!(!replaces_member_reachable_by_others());
}

#[test]
fn only_new_machine_takes_offered_seat() {
    let mut watch = MemberWatch::default();
    watch.answered("a", report(&[]), at(0));
    watch.answered("b", report(&[]), at(0));
    watch.answered("c", MemberTold { offers_seat: true, ..report(&[]) }, at(0));
    assert_ne!(place_step(&watch, Patience::of_new_machine(CATCH_UP_DEADLINE), at(0)), PlaceStep::Stay);
    assert_eq!(place_step(&watch, Patience::LONG, at(0)), PlaceStep::Stay);
    // Without `b`, too few voters remain to read all records from.
    watch.answered("b", MemberTold { is_voting: false, ..report(&[]) }, at(0));
    assert_eq!(place_step(&watch, Patience::of_new_machine(CATCH_UP_DEADLINE), at(0)), PlaceStep::Stay);
}

#[test]
fn spare_machine_waits_longer_than_most_outages() {
    assert_eq!(place_step(&watch(5_500, 5_500), Patience::LONG, at(0)), PlaceStep::Stay);
    assert_ne!(place_step(&watch(6_000, 6_000), Patience::LONG, at(0)), PlaceStep::Stay);
}

#[test]
fn new_machine_keeps_most_of_its_deadline_for_reading() {
    let patience = |seconds| Patience::of_new_machine(Duration::from_secs(seconds)).lost_after();
    assert_eq!(patience(4), Duration::from_millis(1_400));
    assert_eq!(patience(15), Duration::from_secs(2));
    // A crashed process restarts within a second.
    assert_eq!(patience(1), Duration::from_secs(1));
}

//! Replacement of lost members: decided by the reports of voting members, not only by the machine's own observation.

mod partial_partition;

use std::time::Duration;

use partial_partition::{decide_membership, replaces_member_reachable_by_others, report};
use sumacdrift_ledger::{MemberReport, MemberWatch, MembershipDecision, ReplacementPolicy};
use sumacdrift_types::Timestamp;

const CATCH_UP_DEADLINE: Duration = Duration::from_secs(4);

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

/// Watch of a machine that has just started; `a` and `b` report `c` as unresponsive for these milliseconds.
fn watch(silent_to_a: u64, silent_to_b: u64) -> MemberWatch {
    let mut watch = MemberWatch::default();
    watch.record_answer("a", report(&[("c", silent_to_a)]), at(0));
    watch.record_answer("b", report(&[("c", silent_to_b)]), at(0));
    watch.record_timeout("c", at(0));
    watch
}

#[test]
fn new_machine_replaces_member_unresponsive_to_voters() {
    let replacement = ReplacementPolicy::for_new_machine(CATCH_UP_DEADLINE);
    assert_eq!(decide_membership(&watch(1_000, 1_000), replacement, at(0)), MembershipDecision::Keep);
    assert_ne!(decide_membership(&watch(2_000, 2_000), replacement, at(0)), MembershipDecision::Keep);
    // Reported times grow with the age of the report.
    assert_ne!(decide_membership(&watch(1_000, 1_000), replacement, at(500)), MembershipDecision::Keep);
}

#[test]
fn member_reachable_by_one_voter_is_not_replaced() {
    let replacement = ReplacementPolicy::for_new_machine(CATCH_UP_DEADLINE);
    assert_eq!(decide_membership(&watch(60_000, 0), replacement, at(0)), MembershipDecision::Keep);
    assert!(!replaces_member_reachable_by_others());
}

#[test]
fn only_new_machine_takes_offered_membership() {
    let mut watch = MemberWatch::default();
    watch.record_answer("a", report(&[]), at(0));
    watch.record_answer("b", report(&[]), at(0));
    watch.record_answer("c", MemberReport { offers_membership: true, ..report(&[]) }, at(0));
    assert_ne!(
        decide_membership(&watch, ReplacementPolicy::for_new_machine(CATCH_UP_DEADLINE), at(0)),
        MembershipDecision::Keep
    );
    assert_eq!(
        decide_membership(&watch, ReplacementPolicy::FOR_EXISTING_MACHINE, at(0)),
        MembershipDecision::Keep
    );
    // Without `b`, too few voters remain to read all records from.
    watch.record_answer("b", MemberReport { is_voting: false, ..report(&[]) }, at(0));
    assert_eq!(
        decide_membership(&watch, ReplacementPolicy::for_new_machine(CATCH_UP_DEADLINE), at(0)),
        MembershipDecision::Keep
    );
}

#[test]
fn spare_machine_waits_longer_than_most_outages() {
    assert_eq!(
        decide_membership(&watch(5_500, 5_500), ReplacementPolicy::FOR_EXISTING_MACHINE, at(0)),
        MembershipDecision::Keep
    );
    assert_ne!(
        decide_membership(&watch(6_000, 6_000), ReplacementPolicy::FOR_EXISTING_MACHINE, at(0)),
        MembershipDecision::Keep
    );
}

#[test]
fn new_machine_keeps_most_of_its_deadline_for_reading() {
    let lost_after = |seconds| ReplacementPolicy::for_new_machine(Duration::from_secs(seconds)).lost_after();
    assert_eq!(lost_after(4), Duration::from_millis(1_400));
    assert_eq!(lost_after(15), Duration::from_secs(2));
    // A crashed process restarts within a second.
    assert_eq!(lost_after(1), Duration::from_secs(1));
}

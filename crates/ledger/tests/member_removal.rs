//! Removal of a lost member that no machine replaces.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_ledger::{
    ChangeReason, Group, GroupMap, GroupPolicy, Member, MemberReport, MemberWatch, MembershipDecision,
    ReplacementPolicy,
};
use sumacdrift_types::{Timestamp, Topology};

const CATCH_UP_DEADLINE: Duration = Duration::from_secs(4);
/// Longer than any removal timeout.
const LONG_SILENCE_MILLIS: u64 = 20_000;

fn member(node: &str) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: "z".to_owned(), joined: 0 }
}

fn group(names: &[&str]) -> Group {
    Group::initial(names.iter().map(|name| member(name)).collect())
}

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

/// Report of a voting member that has had no answer from these members for so many milliseconds.
fn report_unresponsive(unresponsive: &[(&str, u64)]) -> MemberReport {
    let unresponsive =
        unresponsive.iter().map(|(node, millis)| ((*node).to_owned(), Duration::from_millis(*millis)));
    MemberReport {
        is_voting: true,
        offers_membership: false,
        counts_copies: true,
        unresponsive: Some(unresponsive.collect::<BTreeMap<_, _>>()),
    }
}

/// Group as seen by its member `a`, in which the member `lost` does not answer.
struct Scenario {
    group: Group,
    watch: MemberWatch,
}

impl Scenario {
    fn new(names: &[&str], has_announced_stop: bool) -> Self {
        let mut watch = MemberWatch::default();
        let last_report = MemberReport { offers_membership: has_announced_stop, ..report_unresponsive(&[]) };
        watch.record_answer("lost", last_report, at(0));
        Self { group: group(names), watch }
    }

    fn step(&mut self, silent_for: u64, witnesses: &[(&str, MemberReport)]) -> MembershipDecision {
        let now = at(silent_for);
        self.watch.record_timeout("lost", now);
        for (node, report) in witnesses {
            self.watch.record_answer(node, report.clone(), now);
        }
        let map = GroupMap::new(vec![self.group.clone()]);
        let replacement = ReplacementPolicy::for_new_machine(CATCH_UP_DEADLINE);
        let policy = GroupPolicy::tolerating(1);
        policy.decide_membership(&Topology::default(), &map, &member("a"), &self.watch, replacement, now)
    }

    fn removes_lost_member(&mut self, silent_for: u64, witnesses: &[(&str, MemberReport)]) -> bool {
        match self.step(silent_for, witnesses) {
            MembershipDecision::Keep => false,
            MembershipDecision::Change { group, reason } => {
                assert_eq!(reason, ChangeReason::RemovedLost);
                assert!(group.member("lost").is_none() && group.epoch == self.group.epoch + 1);
                true
            }
        }
    }
}

#[test]
fn stopped_member_is_removed_after_timeout_of_new_machine() {
    let lost_after =
        u64::try_from(ReplacementPolicy::for_new_machine(CATCH_UP_DEADLINE).lost_after().as_millis());
    let lost_after = lost_after.expect("fits in u64");
    let mut scenario = Scenario::new(&["a", "b", "lost"], true);
    assert!(
        !scenario
            .removes_lost_member(lost_after - 1, &[("b", report_unresponsive(&[("lost", lost_after - 1)]))])
    );
    assert!(scenario.removes_lost_member(lost_after, &[("b", report_unresponsive(&[("lost", lost_after)]))]));
}

#[test]
fn crashed_member_is_removed_only_after_timeout_of_spare_machine() {
    let mut scenario = Scenario::new(&["a", "b", "lost"], false);
    let spare_lost_after =
        u64::try_from(ReplacementPolicy::FOR_EXISTING_MACHINE.lost_after().as_millis()).expect("fits in u64");
    let silent_for = spare_lost_after + 2_000;
    assert!(
        !scenario.removes_lost_member(silent_for, &[("b", report_unresponsive(&[("lost", silent_for)]))])
    );
    assert!(scenario.removes_lost_member(
        LONG_SILENCE_MILLIS,
        &[("b", report_unresponsive(&[("lost", LONG_SILENCE_MILLIS)]))]
    ));
}

#[test]
fn member_reachable_by_any_other_is_not_removed() {
    let mut scenario = Scenario::new(&["a", "b", "c", "d", "lost"], true);
    let unresponsive = || report_unresponsive(&[("lost", LONG_SILENCE_MILLIS)]);
    assert!(!scenario.removes_lost_member(
        LONG_SILENCE_MILLIS,
        &[("b", unresponsive()), ("c", report_unresponsive(&[])), ("d", unresponsive())]
    ));
    assert!(scenario.removes_lost_member(
        LONG_SILENCE_MILLIS,
        &[("b", unresponsive()), ("c", unresponsive()), ("d", unresponsive())]
    ));
}

#[test]
fn members_that_do_not_vote_or_monitor_remove_nobody() {
    let unresponsive = report_unresponsive(&[("lost", LONG_SILENCE_MILLIS)]);
    let not_voting = MemberReport { is_voting: false, ..unresponsive.clone() };
    let not_monitoring = MemberReport { unresponsive: None, ..unresponsive };
    for report in [not_voting, not_monitoring] {
        let mut scenario = Scenario::new(&["a", "b", "lost"], true);
        assert!(!scenario.removes_lost_member(LONG_SILENCE_MILLIS, &[("b", report)]));
    }
    assert!(!Scenario::new(&["a", "b", "lost"], true).removes_lost_member(LONG_SILENCE_MILLIS, &[]));
}

#[test]
fn groups_of_even_size_are_not_shrunk() {
    // Shrinking an even group would shrink its majority, so that both sides of a partition could have one.
    assert!(!Scenario::new(&["a", "lost"], true).removes_lost_member(LONG_SILENCE_MILLIS, &[]));
    let unresponsive = || report_unresponsive(&[("lost", LONG_SILENCE_MILLIS)]);
    let mut four = Scenario::new(&["a", "b", "c", "lost"], true);
    assert!(!four.removes_lost_member(LONG_SILENCE_MILLIS, &[("b", unresponsive()), ("c", unresponsive())]));
}

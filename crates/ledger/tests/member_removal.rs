//! Removal of a lost member that no machine replaces.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_ledger::{
    ChangeReason, Group, GroupMap, GroupPolicy, Member, MemberTold, MemberWatch, Patience, PlaceStep,
};
use sumacdrift_types::{Timestamp, Topology};

const CATCH_UP_DEADLINE: Duration = Duration::from_secs(4);
/// Longer than any removal timeout.
const LONG_SILENCE_MILLIS: u64 = 20_000;

fn member(node: &str) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: "z".to_owned(), joined: 0 }
}

fn group(names: &[&str]) -> Group {
    Group::founded(names.iter().map(|name| member(name)).collect())
}

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

/// Report of a voting member that has had no answer from these members for so many milliseconds.
fn report_silent(silent: &[(&str, u64)]) -> MemberTold {
    let silent = silent.iter().map(|(node, millis)| ((*node).to_owned(), Duration::from_millis(*millis)));
    MemberTold { is_voting: true, offers_seat: false, silent: Some(silent.collect::<BTreeMap<_, _>>()) }
}

/// Group as seen by its member `a`, in which the member `lost` does not answer.
struct Scenario {
    group: Group,
    watch: MemberWatch,
}

impl Scenario {
    fn new(names: &[&str], has_announced_stop: bool) -> Self {
        let mut watch = MemberWatch::default();
        let last_report = MemberTold { offers_seat: has_announced_stop, ..report_silent(&[]) };
        watch.answered("lost", last_report, at(0));
        Self { group: group(names), watch }
    }

    fn step(&mut self, silent_for: u64, witnesses: &[(&str, MemberTold)]) -> PlaceStep {
        let now = at(silent_for);
        self.watch.silent("lost", now);
        for (node, report) in witnesses {
            self.watch.answered(node, report.clone(), now);
        }
        let map = GroupMap::new(vec![self.group.clone()]);
        let patience = Patience::of_new_machine(CATCH_UP_DEADLINE);
        let policy = GroupPolicy::tolerating(1);
        policy.place_step(&Topology::default(), &map, &member("a"), &self.watch, patience, now)
    }

    fn removes_lost_member(&mut self, silent_for: u64, witnesses: &[(&str, MemberTold)]) -> bool {
        match self.step(silent_for, witnesses) {
            PlaceStep::Stay => false,
            PlaceStep::Change { group, reason } => {
                assert_eq!(reason, ChangeReason::GivenUp);
                assert!(group.member("lost").is_none() && group.epoch == self.group.epoch + 1);
                true
            }
        }
    }
}

#[test]
fn stopped_member_is_removed_after_timeout_of_new_machine() {
    let patience = u64::try_from(Patience::of_new_machine(CATCH_UP_DEADLINE).lost_after().as_millis());
    let patience = patience.expect("fits in u64");
    let mut scenario = Scenario::new(&["a", "b", "lost"], true);
    assert!(!scenario.removes_lost_member(patience - 1, &[("b", report_silent(&[("lost", patience - 1)]))]));
    assert!(scenario.removes_lost_member(patience, &[("b", report_silent(&[("lost", patience)]))]));
}

#[test]
fn crashed_member_is_removed_only_after_timeout_of_spare_machine() {
    let mut scenario = Scenario::new(&["a", "b", "lost"], false);
    let spare_lost_after = u64::try_from(Patience::LONG.lost_after().as_millis()).expect("fits in u64");
    let silent_for = spare_lost_after + 2_000;
    assert!(!scenario.removes_lost_member(silent_for, &[("b", report_silent(&[("lost", silent_for)]))]));
    assert!(
        scenario.removes_lost_member(
            LONG_SILENCE_MILLIS,
            &[("b", report_silent(&[("lost", LONG_SILENCE_MILLIS)]))]
        )
    );
}

#[test]
fn member_reachable_by_any_other_is_not_removed() {
    let mut scenario = Scenario::new(&["a", "b", "c", "d", "lost"], true);
    let silent = || report_silent(&[("lost", LONG_SILENCE_MILLIS)]);
    assert!(!scenario.removes_lost_member(
        LONG_SILENCE_MILLIS,
        &[("b", silent()), ("c", report_silent(&[])), ("d", silent())]
    ));
    assert!(
        scenario
            .removes_lost_member(LONG_SILENCE_MILLIS, &[("b", silent()), ("c", silent()), ("d", silent())])
    );
}

#[test]
fn members_that_do_not_vote_or_monitor_remove_nobody() {
    let silent = report_silent(&[("lost", LONG_SILENCE_MILLIS)]);
    let not_voting = MemberTold { is_voting: false, ..silent.clone() };
    let not_monitoring = MemberTold { silent: None, ..silent };
    for report in [not_voting, not_monitoring] {
        let mut scenario = Scenario::new(&["a", "b", "lost"], true);
        assert!(!scenario.removes_lost_member(LONG_SILENCE_MILLIS, &[("b", report)]));
    }
    assert!(!Scenario::new(&["a", "b", "lost"], true).removes_lost_member(LONG_SILENCE_MILLIS, &[]));
}

#[test]
fn groups_of_even_size_are_not_shrunk() {
    // Shrinking an even group would shrink its majority, so that both sides of a partition could go on.
    assert!(!Scenario::new(&["a", "lost"], true).removes_lost_member(LONG_SILENCE_MILLIS, &[]));
    let silent = || report_silent(&[("lost", LONG_SILENCE_MILLIS)]);
    let mut four = Scenario::new(&["a", "b", "c", "lost"], true);
    assert!(!four.removes_lost_member(LONG_SILENCE_MILLIS, &[("b", silent()), ("c", silent())]));
}

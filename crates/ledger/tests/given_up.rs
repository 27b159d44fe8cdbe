//! When the members that are left go on without one that is gone and whose place no machine takes.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_ledger::{
    ChangeReason, Group, GroupMap, GroupPolicy, Member, MemberTold, MemberWatch, Patience, PlaceStep,
};
use sumacdrift_types::{Places, Timestamp};

const COMPLETE_WITHIN: Duration = Duration::from_secs(4);
/// Longer than any member is waited for.
const LONG: u64 = 20_000;

fn member(node: &str) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: "z".to_owned(), joined: 0 }
}

fn group(names: &[&str]) -> Group {
    Group::founded(names.iter().map(|name| member(name)).collect())
}

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

/// What a voting member tells that finds these silent for so many milliseconds.
fn finds(silent: &[(&str, u64)]) -> MemberTold {
    let silent = silent.iter().map(|(node, millis)| ((*node).to_owned(), Duration::from_millis(*millis)));
    MemberTold { is_voting: true, offers_seat: false, silent: Some(silent.collect::<BTreeMap<_, _>>()) }
}

/// What member `a` does after `gone` has been silent for so long.
struct Scene {
    group: Group,
    watch: MemberWatch,
}

impl Scene {
    fn of(names: &[&str], says_that_it_stops: bool) -> Self {
        let mut watch = MemberWatch::default();
        let last = MemberTold { offers_seat: says_that_it_stops, ..finds(&[]) };
        watch.answered("gone", last, at(0));
        Self { group: group(names), watch }
    }

    fn step(&mut self, silent_for: u64, witnesses: &[(&str, MemberTold)]) -> PlaceStep {
        let now = at(silent_for);
        self.watch.silent("gone", now);
        for (node, told) in witnesses {
            self.watch.answered(node, told.clone(), now);
        }
        let map = GroupMap::new(vec![self.group.clone()]);
        let patience = Patience::of_new_machine(COMPLETE_WITHIN);
        let policy = GroupPolicy::tolerating(1);
        policy.place_step(&Places::default(), &map, &member("a"), &self.watch, patience, now)
    }

    fn gives_up(&mut self, silent_for: u64, witnesses: &[(&str, MemberTold)]) -> bool {
        match self.step(silent_for, witnesses) {
            PlaceStep::Stay => false,
            PlaceStep::Change { group, reason } => {
                assert_eq!(reason, ChangeReason::GivenUp);
                assert!(group.member("gone").is_none() && group.epoch == self.group.epoch + 1);
                true
            }
        }
    }
}

#[test]
fn one_that_said_that_it_stops_is_waited_for_as_long_as_a_new_machine_would() {
    let patience = u64::try_from(Patience::of_new_machine(COMPLETE_WITHIN).lost_after().as_millis());
    let patience = patience.expect("a short time");
    let mut scene = Scene::of(&["a", "b", "gone"], true);
    assert!(!scene.gives_up(patience - 1, &[("b", finds(&[("gone", patience - 1)]))]));
    assert!(scene.gives_up(patience, &[("b", finds(&[("gone", patience)]))]));
}

#[test]
fn one_that_went_without_a_word_is_given_up_only_when_a_spare_machine_would_have_come() {
    let mut scene = Scene::of(&["a", "b", "gone"], false);
    let of_spares = u64::try_from(Patience::LONG.lost_after().as_millis()).expect("a short time");
    let later = of_spares + 2_000;
    assert!(!scene.gives_up(later, &[("b", finds(&[("gone", later)]))]));
    assert!(scene.gives_up(LONG, &[("b", finds(&[("gone", LONG)]))]));
}

#[test]
fn one_that_any_member_hears_stays() {
    let mut scene = Scene::of(&["a", "b", "c", "d", "gone"], true);
    let silent = || finds(&[("gone", LONG)]);
    assert!(!scene.gives_up(LONG, &[("b", silent()), ("c", finds(&[])), ("d", silent())]));
    assert!(scene.gives_up(LONG, &[("b", silent()), ("c", silent()), ("d", silent())]));
}

#[test]
fn nobody_is_given_up_by_members_that_do_not_vote_or_do_not_look() {
    let silent = finds(&[("gone", LONG)]);
    let learning = MemberTold { is_voting: false, ..silent.clone() };
    let blind = MemberTold { silent: None, ..silent };
    for told in [learning, blind] {
        let mut scene = Scene::of(&["a", "b", "gone"], true);
        assert!(!scene.gives_up(LONG, &[("b", told)]));
    }
    assert!(!Scene::of(&["a", "b", "gone"], true).gives_up(LONG, &[]));
}

#[test]
fn groups_whose_majority_would_stay_as_large_a_share_are_left_as_they_are() {
    // Of two members both must agree, and of four three: one less would make room for two halves that each go on.
    assert!(!Scene::of(&["a", "gone"], true).gives_up(LONG, &[]));
    let silent = || finds(&[("gone", LONG)]);
    let mut four = Scene::of(&["a", "b", "c", "gone"], true);
    assert!(!four.gives_up(LONG, &[("b", silent()), ("c", silent())]));
}

//! Which change of the group a machine asks for.

use std::time::Duration;

use sumacdrift_ledger::{ChangeReason, Group, GroupPolicy, Member, MemberWatch, PlaceStep};
use sumacdrift_types::Timestamp;

fn member(node: &str, zone: &str) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: zone.to_owned(), joined: 0 }
}

fn names(group: &Group) -> Vec<&str> {
    group.members.iter().map(|member| member.node.as_str()).collect()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

fn five() -> Group {
    Group::founded(["a", "b", "c", "d", "e"].map(|node| member(node, "z")).to_vec())
}

#[test]
fn a_majority_is_left_after_the_tolerated_losses() {
    for losses in 0..4 {
        let policy = GroupPolicy::tolerating(losses);
        let majority = policy.size() / 2 + 1;
        assert!(policy.size() - losses >= majority, "{losses}");
        assert_eq!(policy.size() % 2, 1);
    }
    assert_eq!(GroupPolicy::tolerating(2).size(), 5);
    assert_eq!(GroupPolicy::tolerating(0).size(), 3);
}

#[test]
fn founders_are_spread_over_zones() {
    let candidates =
        [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];
    let candidates = candidates.map(|(node, zone)| member(node, zone));
    let group = GroupPolicy::tolerating(2).founding_group(&candidates.iter().collect::<Vec<_>>());
    assert_eq!(names(&group), ["a1", "a2", "b1", "b2", "c1"]);
    let few = GroupPolicy::tolerating(2).founding_group(&[&candidates[0], &candidates[3]]);
    assert_eq!(names(&few), ["a1", "b1"]);
}

#[test]
fn a_machine_joins_a_group_that_is_too_small() {
    let policy = GroupPolicy::tolerating(2);
    let watch = MemberWatch::default();
    let small = five().without("c");
    let step = policy.place_step(&small, &member("f", "z"), &watch, at(0));
    let PlaceStep::Change { group, reason: ChangeReason::Joined } = step else { panic!("{step:?}") };
    assert_eq!(names(&group), ["a", "b", "d", "e", "f"]);
    assert_eq!(policy.place_step(&five(), &member("f", "z"), &watch, at(0)), PlaceStep::Stay);
}

#[test]
fn a_machine_at_another_address_takes_its_own_place() {
    let mut moved = member("c", "z");
    moved.address = ([127, 0, 0, 2], 1).into();
    let step = GroupPolicy::tolerating(2).place_step(&five(), &moved, &MemberWatch::default(), at(0));
    let PlaceStep::Change { group, reason: ChangeReason::Moved } = step else { panic!("{step:?}") };
    assert_eq!(group.member("c").map(|member| member.address), Some(moved.address));
    assert_eq!(group.epoch, 2);
}

#[test]
fn places_of_two_lost_members_are_taken_one_after_the_other() {
    let policy = GroupPolicy::tolerating(2);
    let mut watch = MemberWatch::default();
    for node in ["a", "b", "c", "d", "e"] {
        watch.answered(node, true, at(0));
    }
    let own = member("f", "z");
    for second in 1..=7 {
        for node in ["a", "b", "c"] {
            watch.answered(node, true, at(second * 1_000));
        }
        watch.silent("d", at(second * 1_000));
        watch.silent("e", at(second * 1_000));
        let step = policy.place_step(&five(), &own, &watch, at(second * 1_000));
        if second < 6 {
            assert_eq!(step, PlaceStep::Stay, "after {second} s");
            continue;
        }
        let PlaceStep::Change { group, reason: ChangeReason::ReplacedLost } = step else {
            panic!("{step:?} after {second} s")
        };
        assert_eq!(names(&group), ["a", "b", "c", "e", "f"]);
    }
}

#[test]
fn no_place_is_taken_while_too_few_members_vote() {
    let policy = GroupPolicy::tolerating(2);
    let mut watch = MemberWatch::default();
    for node in ["a", "b", "c", "d", "e"] {
        watch.answered(node, true, at(0));
    }
    // Two lost their disks and have no vote yet: who took the silent one's place could not read enough.
    watch.answered("a", false, at(9_000));
    watch.answered("b", false, at(9_000));
    watch.answered("c", true, at(9_000));
    watch.answered("d", true, at(9_000));
    watch.silent("e", at(9_000));
    assert_eq!(policy.place_step(&five(), &member("f", "z"), &watch, at(9_000)), PlaceStep::Stay);
}

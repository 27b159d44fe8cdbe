//! Bootstrap of groups, and the group changes that machines request.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sumacdrift_ledger::{
    Candidate, Capacity, ChangeReason, Group, GroupMap, GroupPolicy, LeaveRefusal, Member, MemberReport,
    MemberWatch, MembershipDecision, ReplacementPolicy,
};
use sumacdrift_types::{RegionName, Timestamp, Topology};

fn member(node: &str, zone: &str) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: zone.to_owned(), joined: 0 }
}

fn names(group: &Group) -> Vec<&str> {
    group.members.iter().map(|member| member.node.as_str()).collect()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

/// Report of a member that does not monitor the others.
fn report(is_voting: bool) -> MemberReport {
    MemberReport { is_voting, ..MemberReport::default() }
}

fn candidate(node: &str, zone: &str, memory_megabytes: f64) -> Candidate {
    let capacity = Capacity { memory_megabytes, ..Capacity::default() };
    Candidate { member: member(node, zone), capacity }
}

fn single_group(group: Group) -> GroupMap {
    GroupMap::new(vec![group])
}

fn group_of_five() -> Group {
    Group::initial(["a", "b", "c", "d", "e"].map(|node| member(node, "z")).to_vec())
}

#[test]
fn majority_remains_after_tolerated_losses() {
    for losses in 0..4 {
        let policy = GroupPolicy::tolerating(losses);
        let majority = policy.size() / 2 + 1;
        assert!(policy.size() - losses >= majority, "{losses}");
        assert_eq!(policy.size() % 2, 1);
    }
    assert_eq!(GroupPolicy::tolerating(2).size(), 5);
    assert_eq!(GroupPolicy::tolerating(0).size(), 3);
}

/// Guards against a drain that takes the tolerance away: while an older build counts a majority, no more copies can be
/// asked for, and three members of which two are lost can't go on.
#[test]
fn member_leaves_only_if_the_tolerated_losses_can_still_be_survived() {
    let policy = GroupPolicy::tolerating(2);
    let four = policy.group_after_leave(&group_of_five(), "a", false).expect("a majority of four is enough");
    assert_eq!((four.commit_quorum(), four.required_sources()), (3, 2));
    assert_eq!(policy.group_after_leave(&four, "b", false), Err(LeaveRefusal::MajorityCounted));
    let three = policy.group_after_leave(&four, "b", true).expect("each of three has all records");
    assert_eq!((three.commit_quorum(), three.required_sources()), (3, 1));
    assert_eq!(policy.group_after_leave(&three, "c", true), Err(LeaveRefusal::TooFewMembers));
    // A group of three that an earlier build made commits at two.
    let earlier = Group { min_copies: 0, ..three };
    assert_eq!(
        GroupPolicy::tolerating(1).group_after_leave(&earlier, "c", false).map(|two| two.commit_quorum()),
        Ok(2)
    );
    assert_eq!(policy.group_after_leave(&earlier, "c", true), Err(LeaveRefusal::TooFewMembers));
}

#[test]
fn initial_members_are_spread_over_zones() {
    let candidates =
        [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];
    let candidates = candidates.map(|(node, zone)| candidate(node, zone, 1.0));
    let map = GroupPolicy::tolerating(2).initial_group_map(&candidates);
    assert_eq!(map.groups().len(), 1);
    assert_eq!(names(&map.groups()[0]), ["a1", "a2", "b1", "b2", "c1"]);
    let few = GroupPolicy::tolerating(2).initial_group_map(&[candidates[0].clone(), candidates[3].clone()]);
    assert_eq!(names(&few.groups()[0]), ["a1", "b1"]);
}

#[test]
fn machine_joins_undersized_group() {
    let policy = GroupPolicy::tolerating(2);
    let watch = MemberWatch::default();
    let small = group_of_five().without_member("c");
    let step = policy.decide_membership(
        &Topology::default(),
        &single_group(small),
        &member("f", "z"),
        &watch,
        ReplacementPolicy::FOR_EXISTING_MACHINE,
        at(0),
    );
    let MembershipDecision::Change { group, reason: ChangeReason::Joined } = step else { panic!("{step:?}") };
    assert_eq!(names(&group), ["a", "b", "d", "e", "f"]);
    assert_eq!(
        policy.decide_membership(
            &Topology::default(),
            &single_group(group_of_five()),
            &member("f", "z"),
            &watch,
            ReplacementPolicy::FOR_EXISTING_MACHINE,
            at(0)
        ),
        MembershipDecision::Keep
    );
}

#[test]
fn machine_with_new_address_updates_its_member() {
    let mut moved = member("c", "z");
    moved.address = ([127, 0, 0, 2], 1).into();
    let step = GroupPolicy::tolerating(2).decide_membership(
        &Topology::default(),
        &single_group(group_of_five()),
        &moved,
        &MemberWatch::default(),
        ReplacementPolicy::FOR_EXISTING_MACHINE,
        at(0),
    );
    let MembershipDecision::Change { group, reason: ChangeReason::Moved } = step else { panic!("{step:?}") };
    assert_eq!(group.member("c").map(|member| member.address), Some(moved.address));
    assert_eq!(group.epoch, 2);
}

#[test]
fn two_lost_members_are_replaced_one_at_a_time() {
    let policy = GroupPolicy::tolerating(2);
    let mut watch = MemberWatch::default();
    for node in ["a", "b", "c", "d", "e"] {
        watch.record_answer(node, report(true), at(0));
    }
    let own = member("f", "z");
    for second in 1..=7 {
        for node in ["a", "b", "c"] {
            watch.record_answer(node, report(true), at(second * 1_000));
        }
        watch.record_timeout("d", at(second * 1_000));
        watch.record_timeout("e", at(second * 1_000));
        let step = policy.decide_membership(
            &Topology::default(),
            &single_group(group_of_five()),
            &own,
            &watch,
            ReplacementPolicy::FOR_EXISTING_MACHINE,
            at(second * 1_000),
        );
        if second < 6 {
            assert_eq!(step, MembershipDecision::Keep, "after {second} s");
            continue;
        }
        let MembershipDecision::Change { group, reason: ChangeReason::ReplacedLost } = step else {
            panic!("{step:?} after {second} s")
        };
        assert_eq!(names(&group), ["a", "b", "c", "e", "f"]);
    }
}

#[test]
fn lost_member_is_not_replaced_while_too_few_vote() {
    let policy = GroupPolicy::tolerating(2);
    let mut watch = MemberWatch::default();
    for node in ["a", "b", "c", "d", "e"] {
        watch.record_answer(node, report(true), at(0));
    }
    // Two members lost their disks and have no vote yet, so a replacement could not read enough members.
    watch.record_answer("a", report(false), at(9_000));
    watch.record_answer("b", report(false), at(9_000));
    watch.record_answer("c", report(true), at(9_000));
    watch.record_answer("d", report(true), at(9_000));
    watch.record_timeout("e", at(9_000));
    assert_eq!(
        policy.decide_membership(
            &Topology::default(),
            &single_group(group_of_five()),
            &member("f", "z"),
            &watch,
            ReplacementPolicy::FOR_EXISTING_MACHINE,
            at(9_000)
        ),
        MembershipDecision::Keep
    );
}

/// Candidates of a fleet with this many machines in each zone.
fn candidates_in_zones(in_zones: &[usize]) -> Vec<Candidate> {
    let machines = in_zones.iter().enumerate();
    let candidates_of_zone = |(zone, count): (usize, &usize)| -> Vec<Candidate> {
        (0..*count).map(|number| candidate(&format!("z{zone}-{number}"), &format!("z{zone}"), 1.0)).collect()
    };
    machines.flat_map(candidates_of_zone).collect()
}

#[test]
fn large_fleet_forms_groups_that_span_zones() {
    for (losses, zones, groups) in [
        (2, vec![6, 5, 5, 5, 5, 5, 5], 6),
        (2, vec![8, 7, 7, 7, 7], 6),
        (2, vec![4, 4, 4], 2),
        (2, vec![3, 3, 2], 1),
        (1, vec![1, 1, 1], 1),
        (1, vec![1, 1, 1, 1], 1),
        (1, vec![10, 10], 6),
    ] {
        let policy = GroupPolicy::tolerating(losses);
        let map = policy.initial_group_map(&candidates_in_zones(&zones));
        assert_eq!(map.groups().len(), groups, "{zones:?}");
        let nodes: BTreeSet<&str> = map.members().map(|member| member.node.as_str()).collect();
        assert_eq!(nodes.len(), groups * policy.size(), "a machine is a member of one group: {zones:?}");
        for group in map.groups() {
            let group_zones: BTreeSet<&str> =
                group.members.iter().map(|member| member.zone.as_str()).collect();
            assert_eq!(group_zones.len(), policy.size().min(zones.len()), "{zones:?} {group:?}");
        }
    }
}

#[test]
fn machines_with_least_capacity_are_left_out_of_founding_map() {
    let mut machines = candidates_in_zones(&[4, 4, 4]);
    for weak in [0, 5] {
        machines[weak].capacity.memory_megabytes = 0.2;
    }
    let map = GroupPolicy::tolerating(2).initial_group_map(&machines);
    for weak in [0, 5] {
        assert_eq!(map.group_of_member(&machines[weak].member.node), None);
    }
}

#[test]
fn programs_are_spread_evenly_over_groups() {
    let map = GroupPolicy::tolerating(2).initial_group_map(&candidates_in_zones(&[6, 5, 5, 5, 5, 5, 5]));
    let mut counts = vec![0_usize; map.groups().len()];
    for program in 0..6_000 {
        let group = map.group_of(&format!("program-{program}")).expect("map has groups");
        counts[group.number as usize] += 1;
    }
    assert!(counts.iter().all(|count| (900..1_100).contains(count)), "{counts:?}");
}

#[test]
fn spare_joins_undersized_group_and_replaces_lost_member_in_any_group() {
    let policy = GroupPolicy::tolerating(1);
    let map = policy.initial_group_map(&candidates_in_zones(&[3, 3, 3]));
    assert_eq!(map.groups().len(), 2);
    let spare = member("spare", "z0");
    let shrunk = map.groups()[1].without_member(&map.groups()[1].members[0].node);
    let step = policy.decide_membership(
        &Topology::default(),
        &map.with_group(shrunk),
        &spare,
        &MemberWatch::default(),
        ReplacementPolicy::FOR_EXISTING_MACHINE,
        at(0),
    );
    let MembershipDecision::Change { group, reason: ChangeReason::Joined } = step else { panic!("{step:?}") };
    assert_eq!((group.number, group.members.len()), (1, 3));
    let mut watch = MemberWatch::default();
    let lost = map.groups()[1].members[2].node.clone();
    for second in 0..=7 {
        for member in map.members() {
            let _has_changed = match member.node == lost && second > 0 {
                true => watch.record_timeout(&member.node, at(second * 1_000)),
                false => watch.record_answer(&member.node, report(true), at(second * 1_000)),
            };
        }
    }
    let step = policy.decide_membership(
        &Topology::default(),
        &map,
        &spare,
        &watch,
        ReplacementPolicy::FOR_EXISTING_MACHINE,
        at(7_000),
    );
    let MembershipDecision::Change { group, reason: ChangeReason::ReplacedLost } = step else {
        panic!("{step:?}")
    };
    assert_eq!(group.number, 1);
    assert!(group.member(&lost).is_none() && group.member("spare").is_some());
}

fn two_regions() -> Topology {
    let region = |name: &str| RegionName::new(name).expect("valid region name");
    Topology::new([("a1", "a"), ("a2", "a"), ("b1", "b")].map(|(zone, name)| (Arc::from(zone), region(name))))
}

/// A group's content may be restricted to its regions, and a new member reads all of it.
#[test]
fn group_does_not_expand_to_another_region() {
    let policy = GroupPolicy::tolerating(2);
    let topology = two_regions();
    let watch = MemberWatch::default();
    let small = Group::initial(["a", "b", "c"].map(|node| member(node, "a1")).to_vec());
    let step = |zone: &str| {
        policy.decide_membership(
            &topology,
            &single_group(small.clone()),
            &member("f", zone),
            &watch,
            ReplacementPolicy::FOR_EXISTING_MACHINE,
            at(0),
        )
    };
    assert_eq!(step("b1"), MembershipDecision::Keep);
    assert_eq!(step("unknown"), MembershipDecision::Keep);
    let MembershipDecision::Change { group, .. } = step("a2") else { panic!("{:?}", step("a2")) };
    assert_eq!(names(&group), ["a", "b", "c", "f"]);
}

#[test]
fn lost_member_is_not_replaced_from_another_region() {
    let policy = GroupPolicy::tolerating(1);
    let topology = two_regions();
    let group = Group::initial(["a", "b", "c"].map(|node| member(node, "a1")).to_vec());
    let mut watch = MemberWatch::default();
    for (node, is_lost) in [("a", true), ("b", false), ("c", false)] {
        watch.record_answer(node, report(true), at(0));
        if is_lost {
            watch.record_timeout(node, at(1));
        } else {
            watch.record_answer(node, report(true), at(60_000));
        }
    }
    let step = |zone: &str| {
        policy.decide_membership(
            &topology,
            &single_group(group.clone()),
            &member("f", zone),
            &watch,
            ReplacementPolicy::FOR_EXISTING_MACHINE,
            at(60_000),
        )
    };
    assert_eq!(step("b1"), MembershipDecision::Keep);
    assert!(matches!(step("a2"), MembershipDecision::Change { reason: ChangeReason::ReplacedLost, .. }));
}

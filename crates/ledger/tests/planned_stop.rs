//! Versions of a group around the planned stop of a member.
//!
//! Guards against a member that hands over where too few copies would remain, that loses its membership by a restart, and
//! against a replacement that has to be read although it has missed nothing.

use std::time::Duration;

use sumacdrift_ledger::{
    ChangeReason, Group, GroupMap, GroupPolicy, Member, MemberReport, MemberWatch, MembershipDecision,
    ReplacementPolicy, Replica, ReplicaSettings,
};
use sumacdrift_types::{Timestamp, Topology};

fn member(node: &str) -> Member {
    let address = ([127, 0, 0, 1], 1).into();
    Member { node: node.to_owned(), address, zone: "z".to_owned(), joined: 0 }
}

fn group(names: &[&str]) -> Group {
    Group::initial(names.iter().map(|name| member(name)).collect())
}

fn handed_over(losses: usize, names: &[&str], stopping: &str) -> Option<Group> {
    GroupPolicy::tolerating(losses).group_after_handover(&group(names), stopping)
}

fn decide(group: &Group, node: &str, watch: &MemberWatch) -> MembershipDecision {
    let map = GroupMap::new(vec![group.clone()]);
    let replacement = ReplacementPolicy::for_new_machine(Duration::from_secs(4));
    let (policy, topology) = (GroupPolicy::tolerating(1), Topology::default());
    policy.decide_membership(&topology, &map, &member(node), watch, replacement, Timestamp::default())
}

#[test]
fn a_member_hands_over_only_if_the_others_bear_the_tolerated_losses() {
    assert!(handed_over(1, &["a", "b", "c"], "c").is_some());
    assert!(handed_over(2, &["a", "b", "c", "d", "e"], "e").is_some());
    assert_eq!(handed_over(1, &["a", "b"], "b"), None);
    assert_eq!(handed_over(2, &["a", "b", "c"], "c"), None);
    assert_eq!(handed_over(1, &["a", "b", "c"], "unknown"), None);
    let away = handed_over(1, &["a", "b", "c"], "c").expect("two members remain");
    assert_eq!(GroupPolicy::tolerating(1).group_after_handover(&away, "b"), None, "one at a time");
}

#[test]
fn a_member_that_returns_votes_again_as_the_same_member() {
    let before = group(&["a", "b", "c"]);
    let away = handed_over(1, &["a", "b", "c"], "c").expect("two members remain");
    let MembershipDecision::Change { group: next, reason } = decide(&away, "c", &MemberWatch::default())
    else {
        panic!("it resumes")
    };
    assert_eq!((reason, next.epoch, next.members.len()), (ChangeReason::Resumed, away.epoch + 1, 3));
    let joined = |group: &Group| group.member("c").map(|member| member.joined);
    assert_eq!(joined(&next), joined(&before));
    let mut replica = Replica::new(ReplicaSettings { node: "c".to_owned(), is_first_start: true });
    replica.finish_replay();
    let votes = [before, away, next].map(|group| {
        replica.install(group);
        replica.is_voting()
    });
    assert_eq!(votes, [true, false, true]);
}

#[test]
fn a_machine_that_replaces_a_member_after_its_handover_has_missed_nothing() {
    let mut watch = MemberWatch::default();
    let now = Timestamp::default();
    let report = MemberReport { is_voting: true, counts_copies: true, ..MemberReport::default() };
    for node in ["a", "b"] {
        watch.record_answer(node, report.clone(), now);
    }
    watch.record_answer("c", MemberReport { offers_membership: true, ..report }, now);
    let before = group(&["a", "b", "c"]);
    let away = handed_over(1, &["a", "b", "c"], "c").expect("two members remain");
    for (group, expected) in [(before, ChangeReason::ReplacedLost), (away, ChangeReason::ReplacedHandedOver)]
    {
        let MembershipDecision::Change { group: next, reason } = decide(&group, "new", &watch) else {
            panic!("it replaces the member")
        };
        assert_eq!(reason, expected);
        assert_eq!(reason.joins_complete_group(), expected == ChangeReason::ReplacedHandedOver);
        assert!(next.handed_over.is_empty() && next.member("new").is_some());
    }
}

/// A build that does not know the mark passes an epoch on without it.
#[test]
fn the_same_version_with_a_mark_supersedes_the_one_without() {
    let away = handed_over(1, &["a", "b", "c"], "c").expect("two members remain");
    let unmarked = Group { handed_over: Default::default(), ..away.clone() };
    assert!(away.supersedes(&unmarked) && !unmarked.supersedes(&away));
}

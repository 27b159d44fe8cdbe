//! Scenario in which one member is unreachable from a new machine but not from the other members.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_ledger::{
    Group, GroupMap, GroupPolicy, Member, MemberReport, MemberWatch, MembershipDecision, ReplacementPolicy,
};
use sumacdrift_types::{Timestamp, Topology};

pub fn member(node: &str) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: "z".to_owned(), joined: 0 }
}

/// Report of a voting member that has had no answer from these members for so many milliseconds.
pub fn report(silent: &[(&str, u64)]) -> MemberReport {
    let unresponsive =
        silent.iter().map(|(node, millis)| ((*node).to_owned(), Duration::from_millis(*millis)));
    let unresponsive = Some(unresponsive.collect::<BTreeMap<_, _>>());
    MemberReport { is_voting: true, unresponsive, ..MemberReport::default() }
}

/// Decision of a machine that is in no group, given a group of `a`, `b` and `c`.
pub fn decide_membership(
    watch: &MemberWatch,
    replacement: ReplacementPolicy,
    now: Timestamp,
) -> MembershipDecision {
    let map = GroupMap::new(vec![Group::initial(["a", "b", "c"].map(member).to_vec())]);
    let policy = GroupPolicy::tolerating(1);
    policy.decide_membership(&Topology::default(), &map, &member("new"), watch, replacement, now)
}

/// Whether a machine that cannot reach `c`, unlike the other members, replaces it.
pub fn replaces_member_reachable_by_others() -> bool {
    let at = |seconds: u64| Timestamp::default() + Duration::from_secs(seconds);
    let mut watch = MemberWatch::default();
    watch.record_timeout("c", at(0));
    for node in ["a", "b"] {
        watch.record_answer(node, report(&[]), at(60));
    }
    decide_membership(&watch, ReplacementPolicy::for_new_machine(Duration::from_secs(4)), at(60))
        != MembershipDecision::Keep
}

//! Scenario in which one member is unreachable from a new machine but not from the other members.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_ledger::{Group, GroupMap, GroupPolicy, Member, MemberTold, MemberWatch, Patience, PlaceStep};
use sumacdrift_types::{Timestamp, Topology};

pub fn member(node: &str) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: "z".to_owned(), joined: 0 }
}

/// Report of a voting member that has had no answer from these members for so many milliseconds.
pub fn report(silent: &[(&str, u64)]) -> MemberTold {
    let silent = silent.iter().map(|(node, millis)| ((*node).to_owned(), Duration::from_millis(*millis)));
    let silent = Some(silent.collect::<BTreeMap<_, _>>());
    MemberTold { is_voting: true, silent, ..MemberTold::default() }
}

/// Decision of a machine without a seat, given a group of `a`, `b` and `c`.
pub fn place_step(watch: &MemberWatch, patience: Patience, now: Timestamp) -> PlaceStep {
    let map = GroupMap::new(vec![Group::founded(["a", "b", "c"].map(member).to_vec())]);
    let policy = GroupPolicy::tolerating(1);
    policy.place_step(&Topology::default(), &map, &member("new"), watch, patience, now)
}

/// Whether a machine that cannot reach `c`, unlike the other members, replaces it.
pub fn replaces_member_reachable_by_others() -> bool {
    let at = |seconds: u64| Timestamp::default() + Duration::from_secs(seconds);
    let mut watch = MemberWatch::default();
    watch.silent("c", at(0));
    for node in ["a", "b"] {
        watch.answered(node, report(&[]), at(60));
    }
    place_step(&watch, Patience::of_new_machine(Duration::from_secs(4)), at(60)) != PlaceStep::Stay
}

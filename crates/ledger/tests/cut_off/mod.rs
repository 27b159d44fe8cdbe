//! A new machine that one member's answers don't reach, while the others hear it.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_ledger::{Group, GroupMap, GroupPolicy, Member, MemberTold, MemberWatch, Patience, PlaceStep};
use sumacdrift_types::{Places, Timestamp};

pub fn member(node: &str) -> Member {
    Member { node: node.to_owned(), address: ([127, 0, 0, 1], 1).into(), zone: "z".to_owned(), joined: 0 }
}

/// What a voting member tells that finds these silent for so many milliseconds.
pub fn told(silent: &[(&str, u64)]) -> MemberTold {
    let silent = silent.iter().map(|(node, millis)| ((*node).to_owned(), Duration::from_millis(*millis)));
    let silent = Some(silent.collect::<BTreeMap<_, _>>());
    MemberTold { is_voting: true, silent, ..MemberTold::default() }
}

/// What a machine without a seat does about a group of a, b and c, by what it saw.
pub fn step(watch: &MemberWatch, patience: Patience, now: Timestamp) -> PlaceStep {
    let map = GroupMap::new(vec![Group::founded(["a", "b", "c"].map(member).to_vec())]);
    let policy = GroupPolicy::tolerating(1);
    policy.place_step(&Places::default(), &map, &member("new"), watch, patience, now)
}

/// Whether a machine that is cut off from c alone takes its place.
pub fn takes_the_place_of_a_member_that_others_hear() -> bool {
    let at = |seconds: u64| Timestamp::default() + Duration::from_secs(seconds);
    let mut watch = MemberWatch::default();
    watch.silent("c", at(0));
    for node in ["a", "b"] {
        watch.answered(node, told(&[]), at(60));
    }
    step(&watch, Patience::of_new_machine(Duration::from_secs(4)), at(60)) != PlaceStep::Stay
}

//! Each rule of the ledger broken once: the simulation must notice.
#![cfg(feature = "mutants")]

mod cut_off;
mod world;
mod zone_world;

use std::sync::Arc;

use sumacdrift_ledger::{Group, GroupMap, GroupPolicy, Member, MemberWatch, Patience, PlaceStep};
use sumacdrift_mutants::{Rule, with_broken};
use sumacdrift_types::{Places, RegionName, Timestamp};
use world::World;

const SEEDS: u64 = 400;
const STEPS: usize = 1_500;

fn breaks_a_rule(rule: Rule, seed: u64) -> bool {
    match rule {
        Rule::LedgerZonesHoldFewMembers => return zone_world::play(seed).is_err(),
        Rule::LedgerStaysInItsRegions => return spreads_to_another_region(),
        Rule::LedgerLostHasWitnesses => return cut_off::takes_the_place_of_a_member_that_others_hear(),
        _ => {}
    }
    let run = std::panic::catch_unwind(|| {
        let mut world = World::new(seed, 1);
        (0..STEPS).for_each(|_| world.step());
    });
    run.is_err()
}

/// Whether a machine joins a group that has no member in its region.
fn spreads_to_another_region() -> bool {
    let region = |name: &str| RegionName::new(name).expect("a name");
    let places = Places::new([("z1", "a"), ("z2", "b")].map(|(zone, of)| (Arc::from(zone), region(of))));
    let member = |node: &str, zone: &str| Member {
        node: node.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.to_owned(),
        joined: 0,
    };
    let map = GroupMap::new(vec![Group::founded(vec![member("a", "z1")])]);
    let (policy, watch) = (GroupPolicy::tolerating(1), MemberWatch::default());
    let step =
        policy.place_step(&places, &map, &member("b", "z2"), &watch, Patience::LONG, Timestamp::default());
    step != PlaceStep::Stay
}

#[test]
fn every_broken_rule_is_noticed() {
    std::panic::set_hook(Box::new(|_| {}));
    let unnoticed: Vec<Rule> = Rule::LEDGER
        .into_iter()
        .filter(|rule| !(0..SEEDS).any(|seed| with_broken(*rule, || breaks_a_rule(*rule, seed))))
        .collect();
    let _ = std::panic::take_hook();
    assert!(unnoticed.is_empty(), "{unnoticed:?}");
}

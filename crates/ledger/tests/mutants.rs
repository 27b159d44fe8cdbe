//! Each rule of the ledger broken once: the simulation must notice.
#![cfg(feature = "mutants")]

mod world;
mod zone_world;

use sumacdrift_mutants::{Rule, with_broken};
use world::World;

const SEEDS: u64 = 400;
const STEPS: usize = 1_500;

fn breaks_a_rule(rule: Rule, seed: u64) -> bool {
    if rule == Rule::LedgerZonesHoldFewMembers {
        return zone_world::play(seed).is_err();
    }
    let run = std::panic::catch_unwind(|| {
        let mut world = World::new(seed, 1);
        (0..STEPS).for_each(|_| world.step());
    });
    run.is_err()
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

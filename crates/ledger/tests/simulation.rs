//! Budgets and kept turns under lost messages, wiped disks, restarts and changes of the group.

mod world;

use world::World;

const SEEDS: u64 = 400;
const STEPS: usize = 1_500;

#[test]
fn a_group_of_three_bears_one_loss() {
    budgets_hold_and_committed_turns_stay(1);
}

#[test]
fn a_group_of_five_bears_two_losses() {
    budgets_hold_and_committed_turns_stay(2);
}

fn budgets_hold_and_committed_turns_stay(tolerated_losses: usize) {
    let (mut wipes, mut replacements, mut refusals, mut joins) = (0, 0, 0, 0);
    for seed in 0..SEEDS {
        let run = std::panic::catch_unwind(|| {
            let mut world = World::new(seed, tolerated_losses);
            (0..STEPS).for_each(|_| world.step());
            (world.wipes, world.replacements, world.refusals, world.joins.min(world.leaves))
        });
        let Ok(counts) = run else { panic!("seed {seed} broke a rule, see above") };
        wipes += counts.0;
        replacements += counts.1;
        refusals += counts.2;
        joins += counts.3;
    }
    // A run in which nothing happens would prove nothing.
    assert!(wipes > 1_000 && replacements > 1_000 && refusals > 1_000, "{wipes} {replacements} {refusals}");
    assert!(joins > 200, "{joins}");
}

//! Budgets and kept turns under lost messages, wiped disks, restarts and changes of the group.

mod world;

use world::World;

const SEEDS: u64 = 400;
const STEPS: usize = 1_500;

#[test]
fn budgets_hold_and_committed_turns_stay() {
    let (mut wipes, mut replacements, mut refusals) = (0, 0, 0);
    for seed in 0..SEEDS {
        let run = std::panic::catch_unwind(|| {
            let mut world = World::new(seed);
            (0..STEPS).for_each(|_| world.step());
            (world.wipes, world.replacements, world.refusals)
        });
        let Ok(counts) = run else { panic!("seed {seed} broke a rule, see above") };
        wipes += counts.0;
        replacements += counts.1;
        refusals += counts.2;
    }
    // A run in which nothing happens would prove nothing.
    assert!(wipes > 1_000 && replacements > 1_000 && refusals > 1_000, "{wipes} {replacements} {refusals}");
}

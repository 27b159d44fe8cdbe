//! Randomized simulation: the loss of any one zone leaves every complete group a majority.

mod zone_simulation;

use zone_simulation::simulate;

#[test]
fn loss_of_any_zone_leaves_a_majority() {
    for seed in 0..10_000 {
        if let Err(violation) = simulate(seed) {
            panic!("seed {seed}: {violation}");
        }
    }
}

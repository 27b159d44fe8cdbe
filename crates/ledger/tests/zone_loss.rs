//! Whatever becomes of machines, the loss of one zone leaves every whole group a majority.

mod zone_world;

use zone_world::play;

#[test]
fn a_zone_that_is_lost_leaves_a_majority() {
    for seed in 0..10_000 {
        if let Err(fault) = play(seed) {
            panic!("seed {seed}: {fault}");
        }
    }
}

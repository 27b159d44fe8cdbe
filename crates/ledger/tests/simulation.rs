//! Randomized simulation: budgets hold, and committed turns and the origins of streams survive lost messages, lost
//! disks, restarts and group changes.

mod cluster;

use cluster::Cluster;

const SEEDS: u64 = 400;
const STEPS: usize = 1_500;

#[test]
fn group_of_three_survives_one_loss() {
    check_budgets_and_committed_turns(1);
}

#[test]
fn group_of_five_survives_two_losses() {
    check_budgets_and_committed_turns(2);
}

fn check_budgets_and_committed_turns(tolerated_losses: usize) {
    let (mut lost_disks, mut replacements, mut rejections, mut joins) = (0, 0, 0, 0);
    for seed in 0..SEEDS {
        let run = std::panic::catch_unwind(|| {
            let mut cluster = Cluster::new(seed, tolerated_losses);
            (0..STEPS).for_each(|_| cluster.step());
            cluster
        });
        let Ok(cluster) = run else { panic!("seed {seed} violated an invariant, see above") };
        lost_disks += cluster.lost_disks;
        replacements += cluster.replacements;
        rejections += cluster.rejections;
        joins += cluster.joins.min(cluster.leaves);
    }
    // Guards against a simulation that no longer exercises these events.
    assert!(
        lost_disks > 1_000 && replacements > 1_000 && rejections > 1_000,
        "{lost_disks} {replacements} {rejections}"
    );
    assert!(joins > 200, "{joins}");
}

#[test]
fn resumed_streams_are_found_with_the_version_that_began_them() {
    for tolerated_losses in [1, 2] {
        let mut resumptions = 0;
        for seed in 0..SEEDS {
            let run = std::panic::catch_unwind(|| {
                let mut cluster = Cluster::with_resumptions(seed, tolerated_losses);
                (0..STEPS).for_each(|_| cluster.step());
                cluster.resumptions
            });
            let Ok(count) = run else { panic!("seed {seed} violated an invariant, see above") };
            resumptions += count;
        }
        assert!(resumptions > 1_000, "{resumptions}");
    }
}

/// Members leave until three of five, or two of three, remain. Guards against committed turns of which every copy is on
/// disks that the group must be able to lose, and against votes counted by clients that wait for fewer copies.
#[test]
fn small_groups_keep_committed_turns_after_the_tolerated_losses() {
    for tolerated_losses in [1, 2] {
        let (mut lost_disks, mut smallest_group) = (0, usize::MAX);
        for seed in 0..SEEDS {
            let run = std::panic::catch_unwind(|| {
                let mut cluster = Cluster::with_small_groups(seed, tolerated_losses);
                (0..STEPS).for_each(|_| cluster.step());
                cluster
            });
            let Ok(cluster) = run else { panic!("seed {seed} violated an invariant, see above") };
            lost_disks += cluster.lost_disks;
            smallest_group = smallest_group.min(cluster.smallest_group);
        }
        assert!(lost_disks > 1_000, "{lost_disks}");
        assert_eq!(smallest_group, tolerated_losses + 1);
    }
}

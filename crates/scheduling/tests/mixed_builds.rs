//! Half of the nodes are of a build that doesn't queue and tells no demand.
//!
//! The others then fare no worse than if nobody queued: over 10 seeds, neither rank's share of programs in time is lower by
//! more than the noise of the seeds, under a flood of the lower rank and under a crowd of all.

mod load_world;

use std::ops::Range;

use load_world::{PATIENT, Plan, Policy, URGENT, play, second};
use sumacdrift_types::Timestamp;

const SEEDS: u64 = 10;
/// A mean is within the noise if it is within so many standard errors.
const STANDARD_ERRORS: f64 = 2.0;

fn loaded() -> Range<Timestamp> {
    second(4.0)..second(10.0)
}

/// How much more is in time in mixed fleets than in those that don't queue, in mean, and the standard error of it.
fn gain(rank: u32, plan: impl Fn(Policy) -> Plan) -> (f64, f64) {
    let in_time = |policy, seed| play(&plan(policy), seed).in_time(rank, &loaded());
    let of_seed = |seed| in_time(Policy::Mixed, seed) - in_time(Policy::Direct, seed);
    let gains: Vec<f64> = (0..SEEDS).map(of_seed).collect();
    let count = gains.len() as f64;
    let mean = gains.iter().sum::<f64>() / count;
    let variance = gains.iter().map(|gain| (gain - mean).powi(2)).sum::<f64>() / (count - 1.0);
    (mean, (variance / count).sqrt())
}

fn assert_no_worse(name: &str, plan: impl Fn(Policy) -> Plan) {
    for rank in [URGENT, PATIENT] {
        let (mean, error) = gain(rank, &plan);
        println!("{name}, rank {rank}: {mean:+.3} in time, standard error {error:.3}");
        assert!(mean >= -STANDARD_ERRORS * error, "{name}, rank {rank}: {mean:+.3}, error {error:.3}");
    }
}

#[test]
fn under_a_flood_no_rank_is_worse_off_than_without_queues() {
    assert_no_worse("flood", |policy| Plan::usual(policy).with_burst(Some(PATIENT), loaded(), 4.0));
}

#[test]
fn under_a_crowd_no_rank_is_worse_off_than_without_queues() {
    assert_no_worse("crowd", |policy| Plan::usual(policy).with_burst(None, loaded(), 3.0));
}

#[test]
fn under_the_usual_load_no_rank_is_worse_off_than_without_queues() {
    assert_no_worse("usual", Plan::usual);
}

//! A fleet in which half of the nodes run a version without queues or demand reports.
//!
//! Guards against a rolling upgrade that makes any rank worse off than no queues at all, beyond the noise of the seeds.

mod load_simulation;

use std::ops::Range;

use load_simulation::{HIGH_RANK, LOW_RANK, Policy, Scenario, at_second, simulate};
use sumacdrift_types::Timestamp;

const SEEDS: u64 = 10;
/// Width of the noise, in standard errors of the mean.
const TOLERANCE_IN_STANDARD_ERRORS: f64 = 2.0;

fn burst_period() -> Range<Timestamp> {
    at_second(4.0)..at_second(10.0)
}

/// Mean gain in the fraction of programs in time of mixed fleets over fleets without queues, and its standard error.
fn mean_gain(rank: u32, scenario: impl Fn(Policy) -> Scenario) -> (f64, f64) {
    let in_time_fraction =
        |policy, seed| simulate(&scenario(policy), seed).in_time_fraction(rank, &burst_period());
    let gain_with_seed =
        |seed| in_time_fraction(Policy::Mixed, seed) - in_time_fraction(Policy::Direct, seed);
    let gains: Vec<f64> = (0..SEEDS).map(gain_with_seed).collect();
    let count = gains.len() as f64;
    let mean = gains.iter().sum::<f64>() / count;
    let variance = gains.iter().map(|gain| (gain - mean).powi(2)).sum::<f64>() / (count - 1.0);
    (mean, (variance / count).sqrt())
}

fn assert_no_worse(name: &str, scenario: impl Fn(Policy) -> Scenario) {
    for rank in [HIGH_RANK, LOW_RANK] {
        let (mean, error) = mean_gain(rank, &scenario);
        println!("{name}, rank {rank}: gain in time {mean:+.3}, standard error {error:.3}");
        assert!(
            mean >= -TOLERANCE_IN_STANDARD_ERRORS * error,
            "{name}, rank {rank}: gain in time {mean:+.3}, standard error {error:.3}"
        );
    }
}

#[test]
fn mixed_versions_are_no_worse_than_no_queues_under_low_rank_overload() {
    assert_no_worse("low-rank overload", |policy| {
        Scenario::baseline(policy).with_burst(Some(LOW_RANK), burst_period(), 4.0)
    });
}

#[test]
fn mixed_versions_are_no_worse_than_no_queues_under_overload_of_all_ranks() {
    assert_no_worse("overload of all ranks", |policy| {
        Scenario::baseline(policy).with_burst(None, burst_period(), 3.0)
    });
}

#[test]
fn mixed_versions_are_no_worse_than_no_queues_under_baseline_load() {
    assert_no_worse("baseline load", Scenario::baseline);
}

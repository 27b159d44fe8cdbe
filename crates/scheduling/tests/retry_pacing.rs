//! Retry times of rejected callers.
//!
//! Guards against retry storms: rejected callers that return faster than capacity is freed (with a margin of 20 % and one
//! call per node), after a sudden burst and during a long one.

mod load_simulation;

use std::ops::Range;
use std::time::Duration;

use load_simulation::{Policy, Scenario, SimulationOutcome, at_second, simulate};
use sumacdrift_types::Timestamp;

const SEEDS: u64 = 5;
const WINDOW: Duration = Duration::from_millis(100);
const MAX_RETRIES_PER_COMPLETION: f64 = 1.2;
/// Load during the 100 ms of a sudden burst, as a multiple of the baseline.
const SUDDEN_BURST_FACTOR: f64 = 150.0;
const LONG_BURST_FACTOR: f64 = 8.0;

fn sudden_burst(policy: Policy) -> (Scenario, Range<Timestamp>) {
    let during = at_second(4.0)..at_second(4.1);
    (Scenario::baseline(policy).with_burst(None, during, SUDDEN_BURST_FACTOR), at_second(4.0)..at_second(6.0))
}

fn long_burst(policy: Policy) -> (Scenario, Range<Timestamp>) {
    let during = at_second(4.0)..at_second(10.0);
    (Scenario::baseline(policy).with_burst(None, during.clone(), LONG_BURST_FACTOR), during)
}

/// The maximum number of retries in 100 ms, and its bound.
fn retries_and_bound(scenario: &Scenario, burst_period: &Range<Timestamp>, seed: u64) -> (usize, f64) {
    let outcome: SimulationOutcome = simulate(scenario, seed);
    let completed_calls = outcome.answers_per_second(burst_period) * WINDOW.as_secs_f64();
    let bound = MAX_RETRIES_PER_COMPLETION * completed_calls + scenario.nodes as f64;
    let max_retries = outcome.max_retries_within(WINDOW);
    let scheduled = outcome.scheduled_retries.len();
    println!(
        "retries after rejections by queues: {}, calls rejected by engines: {}",
        outcome.max_queue_retries_within(WINDOW),
        outcome.engine_rejections
    );
    println!(
        "{:?}, seed {seed}: {max_retries} of {scheduled} retries in 100 ms, bound {bound:.0}",
        scenario.policy
    );
    (max_retries, bound)
}

#[test]
fn retries_after_a_sudden_burst_are_spread_out() {
    for seed in 0..SEEDS {
        let (scenario, burst_period) = sudden_burst(Policy::Queued);
        let (max_retries, bound) = retries_and_bound(&scenario, &burst_period, seed);
        assert!(
            max_retries as f64 <= bound,
            "seed {seed}: {max_retries} retries in 100 ms, bound {bound:.0}"
        );
    }
}

#[test]
fn retries_after_a_sudden_burst_at_few_nodes_are_spread_out() {
    for seed in 0..SEEDS {
        let (mut scenario, burst_period) = sudden_burst(Policy::Queued);
        scenario.nodes = 4;
        let (max_retries, bound) = retries_and_bound(&scenario, &burst_period, seed);
        assert!(
            max_retries as f64 <= bound,
            "seed {seed}: {max_retries} retries in 100 ms, bound {bound:.0}"
        );
    }
}

#[test]
fn retries_during_a_long_burst_are_no_faster_than_capacity_is_freed() {
    for seed in 0..SEEDS {
        let (scenario, burst_period) = long_burst(Policy::Queued);
        let (max_retries, bound) = retries_and_bound(&scenario, &burst_period, seed);
        assert!(
            max_retries as f64 <= bound,
            "seed {seed}: {max_retries} retries in 100 ms, bound {bound:.0}"
        );
    }
}

#[test]
fn without_queues_retries_after_a_sudden_burst_coincide() {
    for seed in 0..SEEDS {
        let (scenario, burst_period) = sudden_burst(Policy::Direct);
        let (max_retries, bound) = retries_and_bound(&scenario, &burst_period, seed);
        assert!(max_retries as f64 > bound, "seed {seed}: {max_retries} retries in 100 ms, bound {bound:.0}");
    }
}

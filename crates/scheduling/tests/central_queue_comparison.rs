//! Queues at all nodes with delayed load reports, compared with one central queue.
//!
//! Guards against node queues that serve the highest rank worse than a central queue would, or that exceed the engines'
//! capacity by more than rounding and the demand of one report age explain.

mod load_simulation;

use std::ops::Range;
use std::time::Duration;

use load_simulation::{HIGH_RANK, LOW_RANK, Policy, REPORT_INTERVAL, Scenario, at_second, simulate};
use sumacdrift_types::Timestamp;

const SEEDS: u64 = 5;
const SHORT_REPORT_AGE: Duration = Duration::from_millis(100);
const LONG_REPORT_AGE: Duration = Duration::from_millis(300);
const MAX_DEFICIT: f64 = 0.05;
const LOW_RANK_BURST_FACTOR: f64 = 5.0;
const BURST_FACTOR: f64 = 3.0;

fn burst_period() -> Range<Timestamp> {
    at_second(4.0)..at_second(10.0)
}

fn low_rank_burst(policy: Policy, age: Duration) -> Scenario {
    let scenario = Scenario { report_age: age..age, ..Scenario::baseline(policy) };
    scenario.with_burst(Some(LOW_RANK), burst_period(), LOW_RANK_BURST_FACTOR)
}

fn burst_of_all_ranks(policy: Policy, age: Duration) -> Scenario {
    let scenario = Scenario { report_age: age..age, ..Scenario::baseline(policy) };
    scenario.with_burst(None, burst_period(), BURST_FACTOR)
}

fn in_flight_bound(scenario: &Scenario, age: Duration) -> f64 {
    let requested_calls = scenario.calls_per_second(at_second(5.0)) * (age + REPORT_INTERVAL).as_secs_f64();
    scenario.slots() + scenario.short_queue() + scenario.nodes as f64 / 2.0 + requested_calls
}

fn assert_close_to_central_queue(scenario: impl Fn(Policy, Duration) -> Scenario, age: Duration) {
    let in_time_fraction =
        |policy, seed| simulate(&scenario(policy, age), seed).in_time_fraction(HIGH_RANK, &burst_period());
    let mut results = Vec::new();
    for seed in 0..SEEDS {
        let central_queue = in_time_fraction(Policy::OneQueue, seed);
        let (node_queues, no_queue) =
            (in_time_fraction(Policy::Queued, seed), in_time_fraction(Policy::Direct, seed));
        println!(
            "report age {age:?}, seed {seed}: node queues {node_queues:.3}, central queue {central_queue:.3}, no queue {no_queue:.3}"
        );
        assert!(no_queue < central_queue - MAX_DEFICIT, "seed {seed}: rank 0 is not delayed without queues");
        results.push((seed, node_queues, central_queue));
    }
    for (seed, node_queues, central_queue) in results {
        assert!(
            node_queues >= central_queue - MAX_DEFICIT,
            "report age {age:?}, seed {seed}: node queues {node_queues:.3}, central queue {central_queue:.3}"
        );
    }
}

#[test]
fn low_rank_overload_delays_rank_0_as_little_as_a_central_queue_with_100_ms_old_reports() {
    assert_close_to_central_queue(low_rank_burst, SHORT_REPORT_AGE);
}

#[test]
fn low_rank_overload_delays_rank_0_as_little_as_a_central_queue_with_300_ms_old_reports() {
    assert_close_to_central_queue(low_rank_burst, LONG_REPORT_AGE);
}

#[test]
fn overload_of_all_ranks_is_ordered_as_by_a_central_queue_with_100_ms_old_reports() {
    assert_close_to_central_queue(burst_of_all_ranks, SHORT_REPORT_AGE);
}

#[test]
fn overload_of_all_ranks_is_ordered_as_by_a_central_queue_with_300_ms_old_reports() {
    assert_close_to_central_queue(burst_of_all_ranks, LONG_REPORT_AGE);
}

#[test]
fn calls_in_flight_stay_near_the_capacity() {
    for age in [SHORT_REPORT_AGE, LONG_REPORT_AGE] {
        for scenario in [low_rank_burst, burst_of_all_ranks] {
            for seed in 0..SEEDS {
                let (node_queue_scenario, no_queue_scenario) =
                    (scenario(Policy::Queued, age), scenario(Policy::Direct, age));
                let bound = in_flight_bound(&node_queue_scenario, age);
                let max_in_flight =
                    |scenario: &Scenario| simulate(scenario, seed).max_in_flight(&burst_period()) as f64;
                let (node_queues, no_queue) =
                    (max_in_flight(&node_queue_scenario), max_in_flight(&no_queue_scenario));
                println!(
                    "report age {age:?}, seed {seed}: {node_queues} in flight, bound {bound:.0}, no queue {no_queue}"
                );
                assert!(
                    node_queues <= bound,
                    "report age {age:?}, seed {seed}: {node_queues} in flight, bound {bound:.0}"
                );
                assert!(
                    no_queue > bound,
                    "report age {age:?}, seed {seed}: calls in flight stay within the bound without queues"
                );
            }
        }
    }
}

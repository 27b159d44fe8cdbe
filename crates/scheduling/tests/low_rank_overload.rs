//! Overload by a low rank while the demand of the high rank fits the capacity.
//!
//! Guards against the low rank delaying the high one, and against starvation of the low rank.

mod load_simulation;

use std::ops::Range;

use load_simulation::{HIGH_RANK, LOW_RANK, Policy, Scenario, SimulationOutcome, at_second, simulate};
use sumacdrift_types::Timestamp;

const SEEDS: u64 = 5;
const MIN_IN_TIME: f64 = 0.95;

fn burst() -> Range<Timestamp> {
    at_second(4.0)..at_second(12.0)
}

fn low_rank_overload(policy: Policy, load_factor: f64) -> Scenario {
    Scenario::baseline(policy).with_burst(Some(LOW_RANK), burst(), load_factor)
}

fn report(name: &str, load_factor: f64, seed: u64, outcome: &SimulationOutcome) -> (f64, f64) {
    let (high_rank, low_rank) =
        (outcome.in_time_fraction(HIGH_RANK, &burst()), outcome.in_time_fraction(LOW_RANK, &burst()));
    println!(
        "{name}, load x{load_factor}, seed {seed}: in time: rank 0 {high_rank:.3}, rank 2 {low_rank:.3}"
    );
    (high_rank, low_rank)
}

#[test]
fn low_rank_overload_neither_delays_the_high_rank_nor_starves_the_low_one() {
    for load_factor in [3.0, 4.0, 5.0] {
        for seed in 0..SEEDS {
            let outcome = simulate(&low_rank_overload(Policy::Queued, load_factor), seed);
            let (high_rank, low_rank) = report("node queues", load_factor, seed, &outcome);
            assert!(
                high_rank >= MIN_IN_TIME,
                "seed {seed}, load x{load_factor}: rank 0 in time {high_rank:.3}"
            );
            assert!(
                high_rank >= low_rank,
                "seed {seed}, load x{load_factor}: in time: rank 0 {high_rank:.3}, rank 2 {low_rank:.3}"
            );
            assert!(low_rank > 0.0, "seed {seed}, load x{load_factor}: no program of rank 2 is in time");
        }
    }
}

#[test]
fn without_queues_low_rank_overload_delays_the_high_rank() {
    for load_factor in [3.0, 4.0, 5.0] {
        for seed in 0..SEEDS {
            let outcome = simulate(&low_rank_overload(Policy::Direct, load_factor), seed);
            let (high_rank, _) = report("no queue", load_factor, seed, &outcome);
            assert!(
                high_rank < MIN_IN_TIME,
                "seed {seed}, load x{load_factor}: rank 0 in time {high_rank:.3}"
            );
        }
    }
}

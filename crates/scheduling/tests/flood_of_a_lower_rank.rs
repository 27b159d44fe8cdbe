//! A flood of a lower rank while the higher one alone fits.
//!
//! 95 of 100 programs of rank 0 are in time, and no less often than those of rank 2. No rank is wholly shut out: programs of
//! rank 2 are in time too, also while the flood lasts.

mod load_world;

use std::ops::Range;

use load_world::{Outcome, PATIENT, Plan, Policy, URGENT, play, second};
use sumacdrift_types::Timestamp;

const SEEDS: u64 = 5;
const LEAST_IN_TIME: f64 = 0.95;

fn flood() -> Range<Timestamp> {
    second(4.0)..second(12.0)
}

fn flooded(policy: Policy, times: f64) -> Plan {
    Plan::usual(policy).with_burst(Some(PATIENT), flood(), times)
}

fn report(name: &str, times: f64, seed: u64, outcome: &Outcome) -> (f64, f64) {
    let (urgent, patient) = (outcome.in_time(URGENT, &flood()), outcome.in_time(PATIENT, &flood()));
    println!("{name} x{times} seed {seed}: rank 0 in time {urgent:.3}, rank 2 {patient:.3}");
    (urgent, patient)
}

#[test]
fn the_higher_rank_is_in_time_and_the_lower_is_not_shut_out() {
    for times in [3.0, 4.0, 5.0] {
        for seed in 0..SEEDS {
            let outcome = play(&flooded(Policy::Queued, times), seed);
            let (urgent, patient) = report("queued", times, seed, &outcome);
            assert!(urgent >= LEAST_IN_TIME, "seed {seed}, x{times}: rank 0 in time {urgent:.3}");
            assert!(urgent >= patient, "seed {seed}, x{times}: {urgent:.3} against {patient:.3}");
            assert!(patient > 0.0, "seed {seed}, x{times}: rank 2 is shut out");
        }
    }
}

#[test]
fn without_queues_the_higher_rank_is_late() {
    for times in [3.0, 4.0, 5.0] {
        for seed in 0..SEEDS {
            let outcome = play(&flooded(Policy::Direct, times), seed);
            let (urgent, _) = report("direct", times, seed, &outcome);
            assert!(urgent < LEAST_IN_TIME, "seed {seed}, x{times}: rank 0 in time {urgent:.3}");
        }
    }
}

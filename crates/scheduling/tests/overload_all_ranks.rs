//! Overload of all ranks: triple demand for 6 s.
//!
//! Guards against congestion collapse (lost throughput, admitted calls or started programs that are never finished, calls held
//! until they can't be answered) and against a backlog that outlasts the burst.

mod load_simulation;

use std::ops::Range;
use std::time::Duration;

use load_simulation::{Policy, Scenario, SimulationOutcome, at_second, simulate};
use sumacdrift_types::Timestamp;

const SEEDS: u64 = 5;
const BURST_FACTOR: f64 = 3.0;
/// Multiple of the baseline load that just fits: no call is rejected, even without queues.
const FITTING_LOAD_FACTOR: f64 = 1.5;
const MIN_THROUGHPUT: f64 = 0.95;
const MIN_COMPLETED: f64 = 0.95;
/// Tolerated difference between waits: a tenth of a call's duration.
const WAIT_TOLERANCE: Duration = Duration::from_millis(30);

fn burst() -> Range<Timestamp> {
    at_second(4.0)..at_second(10.0)
}

/// The burst without its first second, in which queues fill up.
fn saturated_period() -> Range<Timestamp> {
    at_second(5.0)..at_second(10.0)
}

fn overloaded(policy: Policy) -> Scenario {
    Scenario::baseline(policy).with_burst(None, burst(), BURST_FACTOR)
}

/// The second that begins 2 s after the burst.
fn after_burst() -> Range<Timestamp> {
    at_second(12.0)..at_second(13.0)
}

fn fitting_load(seed: u64) -> SimulationOutcome {
    simulate(&Scenario::baseline(Policy::Direct).with_load_factor(FITTING_LOAD_FACTOR), seed)
}

/// The longest wait after the burst that still counts as normal.
fn normal_wait_limit(seed: u64) -> Duration {
    simulate(&Scenario::baseline(Policy::Queued), seed).mean_wait(&after_burst()) + WAIT_TOLERANCE
}

fn report(name: &str, seed: u64, outcome: &SimulationOutcome) {
    println!(
        "{name} seed {seed}: {:.0} answers/s, started programs completed {:.3}, admitted calls answered {:.3}, wait after the burst {:?}, calls held too long {}",
        outcome.answers_per_second(&saturated_period()),
        outcome.started_completion_fraction(&burst()),
        outcome.admitted_answer_fraction(),
        outcome.mean_wait(&after_burst()),
        outcome.calls_held_too_long(),
    );
}

#[test]
fn overload_of_all_ranks_keeps_throughput() {
    for seed in 0..SEEDS {
        let fitting_load = fitting_load(seed);
        assert!(fitting_load.scheduled_retries.is_empty(), "seed {seed}: the load causes rejections");
        let outcome = simulate(&overloaded(Policy::Queued), seed);
        let fitting_rate = fitting_load.answers_per_second(&saturated_period());
        let answered = outcome.answers_per_second(&saturated_period());
        report("node queues", seed, &outcome);
        println!("fitting load, seed {seed}: {fitting_rate:.0} answers/s");
        assert!(
            answered >= MIN_THROUGHPUT * fitting_rate,
            "seed {seed}: {answered:.0} answers/s, {fitting_rate:.0} under the fitting load"
        );
    }
}

#[test]
fn started_programs_and_admitted_calls_complete_under_overload() {
    for seed in 0..SEEDS {
        let outcome = simulate(&overloaded(Policy::Queued), seed);
        report("node queues", seed, &outcome);
        let completed = outcome.started_completion_fraction(&burst());
        assert!(completed >= MIN_COMPLETED, "seed {seed}: {completed:.3} of the started programs completed");
        let answered = outcome.admitted_answer_fraction();
        assert!(answered >= MIN_COMPLETED, "seed {seed}: {answered:.3} of the admitted calls were answered");
    }
}

#[test]
fn waits_return_to_normal_2_s_after_an_overload() {
    let mut waits = Vec::new();
    for seed in 0..SEEDS {
        let outcome = simulate(&overloaded(Policy::Queued), seed);
        waits.push((outcome.mean_wait(&after_burst()), normal_wait_limit(seed)));
    }
    println!("waits after the burst, and their limits: {waits:?}");
    assert!(waits.iter().all(|(wait, limit)| wait <= limit), "{waits:?}");
}

#[test]
fn no_call_is_held_until_it_cannot_be_answered() {
    for seed in 0..SEEDS {
        let held = simulate(&overloaded(Policy::Queued), seed).calls_held_too_long();
        assert_eq!(held, 0, "seed {seed}: {held} calls held until they could not be answered");
    }
}

#[test]
fn without_queues_overload_aborts_programs_and_prolongs_waits() {
    let mut completed = Vec::new();
    for seed in 0..SEEDS {
        let outcome = simulate(&overloaded(Policy::Direct), seed);
        report("no queue", seed, &outcome);
        completed.push(outcome.started_completion_fraction(&burst()).min(outcome.admitted_answer_fraction()));
        let (wait, limit) = (outcome.mean_wait(&after_burst()), normal_wait_limit(seed));
        assert!(wait > limit, "seed {seed}: wait {wait:?}, limit {limit:?}");
    }
    assert!(
        completed.iter().any(|completed| *completed < MIN_COMPLETED),
        "completed fractions: {completed:?}"
    );
}

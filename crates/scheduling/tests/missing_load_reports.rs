//! Overload by a low rank while load reports between nodes are missing.
//!
//! Guards against queues that do worse than none while reports are missing, and against a fleet that doesn't return to
//! serving ranks in order within 2 s after reports resume.

mod load_simulation;

use std::ops::Range;

use load_simulation::{
    HIGH_RANK, LOW_RANK, Policy, ReportOutage, Scenario, SimulationOutcome, at_second, simulate,
};
use sumacdrift_types::Timestamp;

const SEEDS: u64 = 5;
const BURST_FACTOR: f64 = 4.0;
const MIN_IN_TIME: f64 = 0.95;

fn burst() -> Range<Timestamp> {
    at_second(4.0)..at_second(18.0)
}

fn low_rank_overload(
    policy: Policy,
    burst: Range<Timestamp>,
    nodes: Range<usize>,
    outage: Range<Timestamp>,
) -> Scenario {
    let report_outages = vec![ReportOutage { nodes, during: outage }];
    let scenario = Scenario { report_outages, last_start: at_second(20.0), ..Scenario::baseline(policy) };
    scenario.with_burst(Some(LOW_RANK), burst, BURST_FACTOR)
}

fn report(name: &str, seed: u64, outcome: &SimulationOutcome, during: &Range<Timestamp>) -> (f64, f64) {
    let (high_rank, low_rank) =
        (outcome.in_time_fraction(HIGH_RANK, during), outcome.in_time_fraction(LOW_RANK, during));
    let work = outcome.calls_of_programs_in_time(during);
    println!(
        "{name}, seed {seed}: in time: rank 0 {high_rank:.3}, rank 2 {low_rank:.3}, calls of programs in time {work}"
    );
    (high_rank, low_rank)
}

/// The high rank is in time, the low rank is not starved.
fn assert_ranks_served_in_order(name: &str, scenario: &Scenario, during: &Range<Timestamp>) {
    for seed in 0..SEEDS {
        let (high_rank, low_rank) = report(name, seed, &simulate(scenario, seed), during);
        assert!(high_rank >= MIN_IN_TIME, "{name}, seed {seed}: rank 0 in time {high_rank:.3}");
        assert!(
            high_rank >= low_rank,
            "{name}, seed {seed}: in time: rank 0 {high_rank:.3}, rank 2 {low_rank:.3}"
        );
        assert!(low_rank > 0.0, "{name}, seed {seed}: no program of rank 2 is in time");
    }
}

/// Neither the high rank nor the total work in time is worse than without queues.
fn assert_no_worse_than_no_queues(name: &str, scenario: &Scenario, during: &Range<Timestamp>) {
    for seed in 0..SEEDS {
        let no_queue = simulate(&Scenario { policy: Policy::Direct, ..scenario.clone() }, seed);
        let node_queues = simulate(scenario, seed);
        let (no_queue_high_rank, _) = report(&format!("{name}, no queue"), seed, &no_queue, during);
        let (high_rank, low_rank) = report(name, seed, &node_queues, during);
        assert!(
            high_rank >= no_queue_high_rank,
            "{name}, seed {seed}: rank 0 in time {high_rank:.3}, without queues {no_queue_high_rank:.3}"
        );
        assert!(low_rank > 0.0, "{name}, seed {seed}: no program of rank 2 is in time");
        let (work, no_queue_work) =
            (node_queues.calls_of_programs_in_time(during), no_queue.calls_of_programs_in_time(during));
        assert!(
            work >= no_queue_work,
            "{name}, seed {seed}: {work} calls of programs in time, without queues {no_queue_work}"
        );
    }
}

fn outage_at_all_nodes() -> Scenario {
    low_rank_overload(Policy::Queued, burst(), 0..40, at_second(7.0)..at_second(9.0))
}

fn outage_at_half_of_nodes() -> Scenario {
    low_rank_overload(Policy::Queued, burst(), 0..20, at_second(3.0)..at_second(40.0))
}

fn one_node_starts_without_reports() -> Scenario {
    low_rank_overload(Policy::Queued, burst(), 0..1, at_second(0.0)..at_second(6.0))
}

fn all_nodes_start_without_reports() -> Scenario {
    low_rank_overload(Policy::Queued, at_second(0.0)..at_second(10.0), 0..40, at_second(0.0)..at_second(0.5))
}

#[test]
fn a_node_that_starts_without_reports_does_not_disturb_the_order() {
    assert_ranks_served_in_order("one node starts", &one_node_starts_without_reports(), &burst());
}

#[test]
fn ranks_are_served_in_order_again_after_a_report_outage() {
    assert_no_worse_than_no_queues("reports stop", &outage_at_all_nodes(), &(at_second(7.0)..at_second(9.0)));
    assert_ranks_served_in_order(
        "reports resumed",
        &outage_at_all_nodes(),
        &(at_second(11.0)..at_second(18.0)),
    );
}

#[test]
fn report_outage_at_half_of_the_nodes_is_no_worse_than_no_queues() {
    assert_no_worse_than_no_queues("outage at half of the nodes", &outage_at_half_of_nodes(), &burst());
}

#[test]
fn a_fleet_that_starts_without_reports_soon_serves_ranks_in_order() {
    assert_no_worse_than_no_queues(
        "all nodes start",
        &all_nodes_start_without_reports(),
        &(at_second(0.0)..at_second(10.0)),
    );
    assert_ranks_served_in_order(
        "all nodes started",
        &all_nodes_start_without_reports(),
        &(at_second(2.5)..at_second(10.0)),
    );
}

#[test]
fn without_queues_rank_0_is_late_under_low_rank_overload() {
    for scenario in
        [outage_at_all_nodes(), one_node_starts_without_reports(), all_nodes_start_without_reports()]
    {
        let no_queue = Scenario { policy: Policy::Direct, ..scenario };
        for seed in 0..SEEDS {
            let high_rank =
                simulate(&no_queue, seed).in_time_fraction(HIGH_RANK, &(at_second(4.0)..at_second(10.0)));
            assert!(high_rank < MIN_IN_TIME, "seed {seed}: rank 0 in time {high_rank:.3}");
        }
    }
}

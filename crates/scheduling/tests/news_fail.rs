//! A flood of a lower rank while nodes hear little or nothing of each other.
//!
//! A node that begins with nothing known changes nothing: 95 of 100 programs of rank 0 are in time, no less often than those of
//! rank 2, and no rank is shut out. The same holds from 2 s after news came back that had stopped for all for 2 s, or that
//! none had at the beginning. While news are missing, and while half of the nodes have none, rank 0 is in time no less often
//! than without queues, and as much work is done in time.

mod load_world;

use std::ops::Range;

use load_world::{Cut, Outcome, PATIENT, Plan, Policy, URGENT, play, second};
use sumacdrift_types::Timestamp;

const SEEDS: u64 = 5;
const FLOOD_TIMES: f64 = 4.0;
const LEAST_IN_TIME: f64 = 0.95;

fn flood() -> Range<Timestamp> {
    second(4.0)..second(18.0)
}

fn flooded(policy: Policy, flood: Range<Timestamp>, nodes: Range<usize>, cut: Range<Timestamp>) -> Plan {
    let cuts = vec![Cut { nodes, during: cut }];
    let plan = Plan { cuts, last_begin: second(20.0), ..Plan::usual(policy) };
    plan.with_burst(Some(PATIENT), flood, FLOOD_TIMES)
}

fn report(name: &str, seed: u64, outcome: &Outcome, during: &Range<Timestamp>) -> (f64, f64) {
    let (urgent, patient) = (outcome.in_time(URGENT, during), outcome.in_time(PATIENT, during));
    let work = outcome.work_in_time(during);
    println!("{name} seed {seed}: rank 0 {urgent:.3}, rank 2 {patient:.3}, calls of programs in time {work}");
    (urgent, patient)
}

/// The aims with news.
fn assert_in_order(name: &str, plan: &Plan, during: &Range<Timestamp>) {
    for seed in 0..SEEDS {
        let (urgent, patient) = report(name, seed, &play(plan, seed), during);
        assert!(urgent >= LEAST_IN_TIME, "{name}, seed {seed}: rank 0 in time {urgent:.3}");
        assert!(urgent >= patient, "{name}, seed {seed}: {urgent:.3} against {patient:.3}");
        assert!(patient > 0.0, "{name}, seed {seed}: rank 2 is shut out");
    }
}

/// The aims without news.
fn assert_no_worse_than_direct(name: &str, plan: &Plan, during: &Range<Timestamp>) {
    for seed in 0..SEEDS {
        let direct = play(&Plan { policy: Policy::Direct, ..plan.clone() }, seed);
        let queued = play(plan, seed);
        let (direct_urgent, _) = report(&format!("{name}, direct"), seed, &direct, during);
        let (urgent, patient) = report(name, seed, &queued, during);
        assert!(urgent >= direct_urgent, "{name}, seed {seed}: rank 0 {urgent:.3}, {direct_urgent:.3}");
        assert!(patient > 0.0, "{name}, seed {seed}: rank 2 is shut out");
        let (work, direct_work) = (queued.work_in_time(during), direct.work_in_time(during));
        assert!(work >= direct_work, "{name}, seed {seed}: work {work}, {direct_work}");
    }
}

fn stop_for_all() -> Plan {
    flooded(Policy::Queued, flood(), 0..40, second(7.0)..second(9.0))
}

fn half_cut() -> Plan {
    flooded(Policy::Queued, flood(), 0..20, second(3.0)..second(40.0))
}

fn one_begins() -> Plan {
    flooded(Policy::Queued, flood(), 0..1, second(0.0)..second(6.0))
}

fn all_begin() -> Plan {
    flooded(Policy::Queued, second(0.0)..second(10.0), 0..40, second(0.0)..second(0.5))
}

#[test]
fn a_node_that_begins_with_nothing_known_changes_nothing() {
    assert_in_order("one begins", &one_begins(), &flood());
}

#[test]
fn news_that_stop_and_come_back() {
    assert_no_worse_than_direct("news stop", &stop_for_all(), &(second(7.0)..second(9.0)));
    assert_in_order("news are back", &stop_for_all(), &(second(11.0)..second(18.0)));
}

#[test]
fn half_of_the_nodes_are_cut_off() {
    assert_no_worse_than_direct("half are cut off", &half_cut(), &flood());
}

#[test]
fn all_begin_with_nothing_known() {
    assert_no_worse_than_direct("all begin", &all_begin(), &(second(0.0)..second(10.0)));
    assert_in_order("all began", &all_begin(), &(second(2.5)..second(10.0)));
}

#[test]
fn without_queues_the_aims_fail() {
    for plan in [stop_for_all(), one_begins(), all_begin()] {
        let direct = Plan { policy: Policy::Direct, ..plan };
        for seed in 0..SEEDS {
            let urgent = play(&direct, seed).in_time(URGENT, &(second(4.0)..second(10.0)));
            assert!(urgent < LEAST_IN_TIME, "seed {seed}: rank 0 in time {urgent:.3}");
        }
    }
}

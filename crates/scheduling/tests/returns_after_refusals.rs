//! Refused callers are told times at which they come back no faster than room comes free.
//!
//! In any 100 ms there are no more returns than 1.2 times the calls that end in 100 ms, and one for each node, also after a
//! crowd that asks within 100 ms, and while a crowd asks for seconds.

mod load_world;

use std::ops::Range;
use std::time::Duration;

use load_world::{Outcome, Plan, Policy, play, second};
use sumacdrift_types::Timestamp;

const SEEDS: u64 = 5;
const WITHIN: Duration = Duration::from_millis(100);
const MOST_OF_FREED: f64 = 1.2;
/// Programs that ask within the 100 ms of a sudden crowd, as a multiple of the usual.
const SUDDEN_TIMES: f64 = 150.0;
const LONG_TIMES: f64 = 8.0;

fn sudden(policy: Policy) -> (Plan, Range<Timestamp>) {
    let during = second(4.0)..second(4.1);
    (Plan::usual(policy).with_burst(None, during, SUDDEN_TIMES), second(4.0)..second(6.0))
}

fn long(policy: Policy) -> (Plan, Range<Timestamp>) {
    let during = second(4.0)..second(10.0);
    (Plan::usual(policy).with_burst(None, during.clone(), LONG_TIMES), during)
}

/// The most returns in 100 ms, and how many there may be.
fn returns(plan: &Plan, loaded: &Range<Timestamp>, seed: u64) -> (usize, f64) {
    let outcome: Outcome = play(plan, seed);
    let freed = outcome.answered_per_second(loaded) * WITHIN.as_secs_f64();
    let bound = MOST_OF_FREED * freed + plan.nodes as f64;
    let most = outcome.most_returns(WITHIN);
    let told = outcome.told_returns.len();
    println!(
        "queues' refusals alone: {}, full engines {}",
        outcome.most_returns_to_queues(WITHIN),
        outcome.full_engines
    );
    println!("{:?} seed {seed}: {most} returns of {told} in 100 ms, bound {bound:.0}", plan.policy);
    (most, bound)
}

#[test]
fn a_sudden_crowd_does_not_come_back_at_once() {
    for seed in 0..SEEDS {
        let (plan, loaded) = sudden(Policy::Queued);
        let (most, bound) = returns(&plan, &loaded, seed);
        assert!(most as f64 <= bound, "seed {seed}: {most} returns, bound {bound:.0}");
    }
}

#[test]
fn a_sudden_crowd_at_few_nodes_does_not_come_back_at_once() {
    for seed in 0..SEEDS {
        let (mut plan, loaded) = sudden(Policy::Queued);
        plan.nodes = 4;
        let (most, bound) = returns(&plan, &loaded, seed);
        assert!(most as f64 <= bound, "seed {seed}: {most} returns, bound {bound:.0}");
    }
}

#[test]
fn a_long_crowd_does_not_come_back_faster_than_room_comes_free() {
    for seed in 0..SEEDS {
        let (plan, loaded) = long(Policy::Queued);
        let (most, bound) = returns(&plan, &loaded, seed);
        assert!(most as f64 <= bound, "seed {seed}: {most} returns, bound {bound:.0}");
    }
}

#[test]
fn without_queues_a_sudden_crowd_comes_back_at_once() {
    for seed in 0..SEEDS {
        let (plan, loaded) = sudden(Policy::Direct);
        let (most, bound) = returns(&plan, &loaded, seed);
        assert!(most as f64 > bound, "seed {seed}: {most} returns, bound {bound:.0}");
    }
}

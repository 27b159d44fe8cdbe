//! Many nodes with a queue each, against one queue for all that knows everything at once.
//!
//! With news 100 and 300 ms old, the share of rank-0 programs in time is within 5 points of the one queue's. Calls under way
//! are beyond the room by no more than half a call a node and what is asked for in one age of the news.

mod load_world;

use std::ops::Range;
use std::time::Duration;

use load_world::{NEWS_EVERY, PATIENT, Plan, Policy, URGENT, play, second};
use sumacdrift_types::Timestamp;

const SEEDS: u64 = 5;
const NEW: Duration = Duration::from_millis(100);
const OLD: Duration = Duration::from_millis(300);
const MOST_BEHIND: f64 = 0.05;
const FLOOD_TIMES: f64 = 5.0;
const CROWD_TIMES: f64 = 3.0;

fn loaded() -> Range<Timestamp> {
    second(4.0)..second(10.0)
}

fn flood(policy: Policy, age: Duration) -> Plan {
    let plan = Plan { news_age: age..age, ..Plan::usual(policy) };
    plan.with_burst(Some(PATIENT), loaded(), FLOOD_TIMES)
}

fn crowd(policy: Policy, age: Duration) -> Plan {
    let plan = Plan { news_age: age..age, ..Plan::usual(policy) };
    plan.with_burst(None, loaded(), CROWD_TIMES)
}

fn most_under_way(plan: &Plan, age: Duration) -> f64 {
    let asked = plan.calls_per_second(second(5.0)) * (age + NEWS_EVERY).as_secs_f64();
    plan.slots() + plan.short_queue() + plan.nodes as f64 / 2.0 + asked
}

fn assert_in_order(plan: impl Fn(Policy, Duration) -> Plan, age: Duration) {
    let in_time = |policy, seed| play(&plan(policy, age), seed).in_time(URGENT, &loaded());
    let mut seeds = Vec::new();
    for seed in 0..SEEDS {
        let one_queue = in_time(Policy::OneQueue, seed);
        let (many, direct) = (in_time(Policy::Queued, seed), in_time(Policy::Direct, seed));
        println!("age {age:?} seed {seed}: {many:.3}, one queue {one_queue:.3}, without {direct:.3}");
        assert!(direct < one_queue - MOST_BEHIND, "seed {seed}: the replay shows nothing");
        seeds.push((seed, many, one_queue));
    }
    for (seed, many, one_queue) in seeds {
        assert!(many >= one_queue - MOST_BEHIND, "{age:?}, seed {seed}: {many:.3}, {one_queue:.3}");
    }
}

#[test]
fn a_flood_is_kept_behind_rank_0_as_by_one_queue_with_news_100_ms_old() {
    assert_in_order(flood, NEW);
}

#[test]
fn a_flood_is_kept_behind_rank_0_as_by_one_queue_with_news_300_ms_old() {
    assert_in_order(flood, OLD);
}

#[test]
fn a_crowd_is_kept_in_order_as_by_one_queue_with_news_100_ms_old() {
    assert_in_order(crowd, NEW);
}

#[test]
fn a_crowd_is_kept_in_order_as_by_one_queue_with_news_300_ms_old() {
    assert_in_order(crowd, OLD);
}

#[test]
fn calls_under_way_stay_near_the_room() {
    for age in [NEW, OLD] {
        for plan in [flood, crowd] {
            for seed in 0..SEEDS {
                let (queued, direct) = (plan(Policy::Queued, age), plan(Policy::Direct, age));
                let bound = most_under_way(&queued, age);
                let most = |plan: &Plan| play(plan, seed).most_under_way(&loaded()) as f64;
                let (queued, direct) = (most(&queued), most(&direct));
                println!("age {age:?} seed {seed}: {queued} under way, bound {bound:.0}, without {direct}");
                assert!(queued <= bound, "{age:?}, seed {seed}: {queued}, bound {bound:.0}");
                assert!(direct > bound, "{age:?}, seed {seed}: the replay shows nothing");
            }
        }
    }
}

//! Decisions on memory for request bodies. Guards against memory that is not returned, against more than the budget, against
//! bodies that wait for one another, and against ordinary callers that are shut out by large or stalled bodies.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use sumacdrift_request_memory::{Budget, Growth, HolderId, SMALL_BODY_BYTES};
use sumacdrift_types::Timestamp;

const MEBIBYTE: usize = 1 << 20;
const CAPACITY: usize = 8 * MEBIBYTE;
/// What bodies that are not small may have together.
const LARGE_CAPACITY: usize = 6 * MEBIBYTE;
const ORDINARY_BYTES: usize = 2_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

fn granted(evicted: &[HolderId]) -> Growth {
    Growth { is_granted: true, evicted: evicted.to_vec() }
}

fn refused() -> Growth {
    Growth { is_granted: false, evicted: Vec::new() }
}

/// Adds bodies of a size; the next one of this size would not fit if they fill the budget.
fn add_bodies(budget: &mut Budget, count: usize, bytes: usize, now: Timestamp) -> Vec<HolderId> {
    let add = |_| {
        let id = budget.add(now);
        assert_eq!(budget.grow(id, bytes, now), granted(&[]));
        id
    };
    (0..count).map(add).collect()
}

#[test]
fn a_body_that_still_grows_is_not_evicted_for_another_large_one() {
    let mut budget = Budget::new(CAPACITY);
    let bodies = add_bodies(&mut budget, 6, MEBIBYTE, at(0));
    let newcomer = budget.add(at(900));
    assert_eq!(budget.grow(newcomer, MEBIBYTE, at(900)), refused());
    assert!(bodies.into_iter().all(|body| budget.complete(body)));
}

#[test]
fn the_body_that_has_held_most_for_longest_without_growing_is_evicted() {
    let mut budget = Budget::new(CAPACITY);
    let smaller = add_bodies(&mut budget, 2, MEBIBYTE, at(0));
    let larger = add_bodies(&mut budget, 2, 2 * MEBIBYTE, at(10));
    let newcomer = budget.add(at(5_000));
    assert_eq!(budget.grow(newcomer, MEBIBYTE, at(5_000)), granted(&larger[1..]));
    assert!(!budget.complete(larger[1]), "it has lost its memory");
    assert!(budget.complete(smaller[0]) && budget.complete(larger[0]));
}

#[test]
fn a_received_body_is_not_evicted() {
    let mut budget = Budget::new(CAPACITY);
    for body in add_bodies(&mut budget, 6, MEBIBYTE, at(0)) {
        assert!(budget.complete(body));
    }
    let newcomer = budget.add(at(60_000));
    assert_eq!(budget.grow(newcomer, MEBIBYTE, at(60_000)), refused());
}

#[test]
fn a_small_body_has_memory_beside_large_ones() {
    let mut budget = Budget::new(CAPACITY);
    for body in add_bodies(&mut budget, 6, MEBIBYTE, at(0)) {
        budget.complete(body);
    }
    let ordinary = budget.add(at(1));
    assert_eq!(budget.grow(ordinary, ORDINARY_BYTES, at(1)), granted(&[]));
}

#[test]
fn an_ordinary_body_displaces_a_much_larger_one() {
    let mut budget = Budget::new(CAPACITY);
    let crowd = add_bodies(&mut budget, CAPACITY / SMALL_BODY_BYTES, SMALL_BODY_BYTES, at(0));
    let ordinary = budget.add(at(1));
    let growth = budget.grow(ordinary, ORDINARY_BYTES, at(1));
    assert!(growth.is_granted && growth.evicted.len() == 1, "{growth:?}");
    assert!(crowd.contains(&growth.evicted[0]));
}

#[test]
fn a_body_larger_than_the_budget_is_refused_and_evicts_nobody() {
    let mut budget = Budget::new(CAPACITY);
    let stalled = add_bodies(&mut budget, 2, MEBIBYTE, at(0));
    let body = budget.add(at(5_000));
    assert_eq!(budget.grow(body, LARGE_CAPACITY + 1, at(5_000)), refused());
    assert!(stalled.into_iter().all(|body| budget.complete(body)));
}

#[derive(Debug, Clone)]
enum Step {
    Arrive { body: usize, bytes: usize },
    Complete { body: usize },
    Leave { body: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let body = 0..40_usize;
    prop_oneof![
        6 => (body.clone(), 1..2 * MEBIBYTE).prop_map(|(body, bytes)| Step::Arrive { body, bytes }),
        2 => body.clone().prop_map(|body| Step::Complete { body }),
        2 => body.prop_map(|body| Step::Leave { body }),
    ]
}

proptest! {
    /// Whatever arrives, is evicted, completes or leaves: the budget holds exactly what its holders have, never more than its
    /// capacity, and nothing once all have left.
    #[test]
    fn the_budget_is_kept_and_returned(steps in proptest::collection::vec((step(), 0..500_u64), 1..300)) {
        let mut budget = Budget::new(CAPACITY);
        let mut held: BTreeMap<usize, (HolderId, usize)> = BTreeMap::new();
        let mut now = 0;
        for (step, pause) in steps {
            now += pause;
            match step {
                Step::Arrive { body, bytes } => {
                    let (id, had) = *held.entry(body).or_insert_with(|| (budget.add(at(now)), 0));
                    let growth = budget.grow(id, had + bytes, at(now));
                    prop_assert!(!growth.evicted.contains(&id));
                    held.retain(|_, (other, _)| !growth.evicted.contains(other));
                    if growth.is_granted {
                        held.insert(body, (id, had + bytes));
                    }
                }
                Step::Complete { body } => {
                    if let Some((id, _)) = held.get(&body) {
                        prop_assert!(budget.complete(*id));
                    }
                }
                Step::Leave { body } => {
                    if let Some((id, _)) = held.remove(&body) {
                        budget.remove(id);
                    }
                }
            }
            prop_assert_eq!(budget.held_bytes(), held.values().map(|(_, bytes)| bytes).sum::<usize>());
            prop_assert!(budget.held_bytes() <= CAPACITY);
            let large = held.values().map(|(_, bytes)| *bytes).filter(|bytes| *bytes > SMALL_BODY_BYTES);
            prop_assert!(large.sum::<usize>() <= LARGE_CAPACITY);
        }
        held.into_values().for_each(|(id, _)| budget.remove(id));
        prop_assert_eq!((budget.held_bytes(), budget.holders()), (0, 0));
    }
}

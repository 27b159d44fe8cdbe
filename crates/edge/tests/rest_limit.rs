//! What a reset of a resting connection teaches.

use std::time::Duration;

use sumacdrift_edge::{Reset, RestLimit};
use sumacdrift_types::Timestamp;

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn at(value: u64) -> Timestamp {
    Timestamp::default() + millis(value)
}

fn at_once(rested: Duration) -> Reset {
    Reset { rested: Some(rested), after: millis(3) }
}

#[test]
fn nothing_is_limited_before_a_reset() {
    assert!(RestLimit::default().allows(millis(60_000), at(0)));
}

#[test]
fn one_reset_shortens_the_rest_of_all_connections_for_a_while() {
    let mut limit = RestLimit::default();
    limit.was_reset(at_once(millis(400)), at(0));
    assert!(limit.allows(millis(200), at(1)));
    assert!(!limit.allows(millis(201), at(1)));
    assert!(limit.allows(millis(5_000), at(10_000)));
}

#[test]
fn a_later_reset_never_allows_more() {
    let mut limit = RestLimit::default();
    limit.was_reset(at_once(millis(400)), at(0));
    limit.was_reset(at_once(millis(3_000)), at(5_000));
    assert!(!limit.allows(millis(201), at(14_000)));
    limit.was_reset(at_once(millis(100)), at(6_000));
    assert!(!limit.allows(millis(51), at(7_000)));
}

#[test]
fn a_call_that_follows_at_once_needs_no_new_connection() {
    let mut limit = RestLimit::default();
    limit.was_reset(at_once(millis(1)), at(0));
    assert!(limit.allows(millis(20), at(1)));
}

/// Escrutinio scale-1: plain services do the work and reset the connection instead of answering. That was taken for
/// connections that had rested too long, and thousands of new ones were opened.
#[test]
fn an_answer_that_is_lost_after_its_work_says_nothing_of_rest() {
    let mut limit = RestLimit::default();
    limit.was_reset(Reset { rested: Some(millis(300)), after: millis(78) }, at(0));
    assert!(limit.allows(millis(9_000), at(1)));
}

#[test]
fn while_new_connections_are_reset_too_rest_is_not_the_cause() {
    let mut limit = RestLimit::default();
    limit.was_reset(Reset { rested: None, after: millis(5) }, at(0));
    limit.was_reset(at_once(millis(300)), at(1_000));
    assert!(limit.allows(millis(9_000), at(1_001)));
    limit.was_reset(at_once(millis(300)), at(9_000));
    assert!(!limit.allows(millis(9_000), at(9_001)));
    limit.was_reset(Reset { rested: None, after: millis(5) }, at(9_500));
    assert!(limit.allows(millis(9_000), at(9_501)));
}

//! What a reset of a resting connection teaches.

use std::time::Duration;

use sumacdrift_edge::RestLimit;
use sumacdrift_types::Timestamp;

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn at(value: u64) -> Timestamp {
    Timestamp::default() + millis(value)
}

#[test]
fn nothing_is_limited_before_a_reset() {
    assert!(RestLimit::default().allows(millis(60_000), at(0)));
}

#[test]
fn one_reset_shortens_the_rest_of_all_connections_for_a_while() {
    let mut limit = RestLimit::default();
    limit.reset_after(millis(400), at(0));
    assert!(limit.allows(millis(200), at(1)));
    assert!(!limit.allows(millis(201), at(1)));
    assert!(limit.allows(millis(5_000), at(10_000)));
}

#[test]
fn a_later_reset_never_allows_more() {
    let mut limit = RestLimit::default();
    limit.reset_after(millis(400), at(0));
    limit.reset_after(millis(3_000), at(5_000));
    assert!(!limit.allows(millis(201), at(14_000)));
    limit.reset_after(millis(100), at(6_000));
    assert!(!limit.allows(millis(51), at(7_000)));
}

#[test]
fn a_call_that_follows_at_once_needs_no_new_connection() {
    let mut limit = RestLimit::default();
    limit.reset_after(millis(1), at(0));
    assert!(limit.allows(millis(20), at(1)));
}

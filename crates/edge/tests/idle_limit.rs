//! Learning the maximum idle time of connections from resets.

use std::time::Duration;

use sumacdrift_edge::{IdleLimit, Reset};
use sumacdrift_types::Timestamp;

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn at(value: u64) -> Timestamp {
    Timestamp::default() + millis(value)
}

fn immediate_reset(idle_for: Duration) -> Reset {
    Reset { idle_for: Some(idle_for), delay: millis(3) }
}

#[test]
fn idle_time_is_unlimited_before_a_reset() {
    assert!(IdleLimit::default().allows(millis(60_000), at(0)));
}

#[test]
fn one_reset_limits_idle_time_until_the_limit_expires() {
    let mut limit = IdleLimit::default();
    limit.record_reset(immediate_reset(millis(400)), at(0));
    assert!(limit.allows(millis(200), at(1)));
    assert!(!limit.allows(millis(201), at(1)));
    assert!(limit.allows(millis(5_000), at(10_000)));
}

#[test]
fn a_later_reset_never_raises_the_limit() {
    let mut limit = IdleLimit::default();
    limit.record_reset(immediate_reset(millis(400)), at(0));
    limit.record_reset(immediate_reset(millis(3_000)), at(5_000));
    assert!(!limit.allows(millis(201), at(14_000)));
    limit.record_reset(immediate_reset(millis(100)), at(6_000));
    assert!(!limit.allows(millis(51), at(7_000)));
}

#[test]
fn the_limit_never_prevents_reuse_by_back_to_back_calls() {
    let mut limit = IdleLimit::default();
    limit.record_reset(immediate_reset(millis(1)), at(0));
    assert!(limit.allows(millis(20), at(1)));
}

/// An engine that resets connections after processing requests must not cause idle connections to be dropped.
#[test]
fn a_reset_after_processing_does_not_limit_idle_time() {
    let mut limit = IdleLimit::default();
    limit.record_reset(Reset { idle_for: Some(millis(300)), delay: millis(78) }, at(0));
    assert!(limit.allows(millis(9_000), at(1)));
}

#[test]
fn resets_are_ignored_while_new_connections_are_reset_too() {
    let mut limit = IdleLimit::default();
    limit.record_reset(Reset { idle_for: None, delay: millis(5) }, at(0));
    limit.record_reset(immediate_reset(millis(300)), at(1_000));
    assert!(limit.allows(millis(9_000), at(1_001)));
    limit.record_reset(immediate_reset(millis(300)), at(9_000));
    assert!(!limit.allows(millis(9_000), at(9_001)));
    limit.record_reset(Reset { idle_for: None, delay: millis(5) }, at(9_500));
    assert!(limit.allows(millis(9_000), at(9_501)));
}

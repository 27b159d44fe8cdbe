//! Choice between feeds and the store.

use std::time::Duration;

use sumacdrift_dissemination::{FeedOutcome, NextSource, SourceChoice};
use sumacdrift_types::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

fn feed_index(next: NextSource) -> usize {
    let NextSource::Feed { index, .. } = next else { panic!("{next:?}") };
    index
}

#[test]
fn follower_stays_with_a_current_feed() {
    let mut choice = SourceChoice::new(at(0), Duration::from_millis(1200));
    for _ in 0..10 {
        assert_eq!(choice.next(5, at(0)), NextSource::Feed { index: 0, may_wait: true });
        choice.record_outcome(FeedOutcome::Current);
    }
}

#[test]
fn feed_without_response_is_replaced_by_the_next() {
    let mut choice = SourceChoice::new(at(0), Duration::from_millis(1200));
    assert_eq!(feed_index(choice.next(5, at(0))), 0);
    choice.record_outcome(FeedOutcome::NoResponse);
    assert_eq!(choice.next(5, at(0)), NextSource::Feed { index: 1, may_wait: false });
    choice.record_outcome(FeedOutcome::Current);
    assert_eq!(choice.next(5, at(0)), NextSource::Feed { index: 1, may_wait: true });
}

#[test]
fn store_is_used_for_a_while_after_three_feeds_without_response() {
    let mut choice = SourceChoice::new(at(0), Duration::from_millis(1200));
    for _ in 0..3 {
        feed_index(choice.next(5, at(100)));
        choice.record_outcome(FeedOutcome::NoResponse);
    }
    let NextSource::Store { until } = choice.next(5, at(100)) else { panic!("expected the store") };
    assert_eq!(choice.next(5, at(200)), NextSource::Store { until });
    assert_eq!(feed_index(choice.next(5, until)), 3);
}

#[test]
fn stale_feeds_are_tried_once_without_waiting_then_with_waiting() {
    let mut choice = SourceChoice::new(at(0), Duration::from_millis(1200));
    let mut asked = Vec::new();
    for _ in 0..8 {
        let NextSource::Feed { index, may_wait } = choice.next(3, at(0)) else { panic!("expected a feed") };
        asked.push((index, may_wait));
        choice.record_outcome(FeedOutcome::Stale);
    }
    assert_eq!(asked[..5], [(0, true), (1, false), (2, false), (0, true), (1, true)]);
    assert!(asked[5..].iter().all(|(_, may_wait)| *may_wait));
}

#[test]
fn store_is_used_when_the_only_feed_does_not_respond() {
    let mut choice = SourceChoice::new(at(0), Duration::from_millis(1200));
    feed_index(choice.next(1, at(0)));
    choice.record_outcome(FeedOutcome::NoResponse);
    assert!(matches!(choice.next(1, at(0)), NextSource::Store { .. }));
}

#[test]
fn follower_without_feeds_waits_before_it_uses_the_store() {
    let mut choice = SourceChoice::new(at(0), Duration::from_millis(1200));
    let NextSource::Wait { until } = choice.next(0, at(0)) else { panic!("expected a wait") };
    assert!(until > at(500) && until < at(2_000));
    assert!(matches!(choice.next(0, until), NextSource::Store { .. }));
}

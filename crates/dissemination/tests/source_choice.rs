//! Which feed a follower asks, and when it follows the store itself.

use std::time::Duration;

use sumacdrift_dissemination::{Heard, NextSource, SourceChoice};
use sumacdrift_types::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

fn place(next: NextSource) -> usize {
    let NextSource::Feed { place, .. } = next else { panic!("{next:?}") };
    place
}

#[test]
fn a_follower_stays_with_a_feed_that_hears_from_the_store() {
    let mut choice = SourceChoice::new(at(0), Duration::from_millis(1200));
    for _ in 0..10 {
        assert_eq!(choice.next(5, at(0)), NextSource::Feed { place: 0, may_wait: true });
        choice.heard(Heard::Current);
    }
}

#[test]
fn a_feed_that_says_nothing_is_left_for_the_next_one() {
    let mut choice = SourceChoice::new(at(0), Duration::from_millis(1200));
    assert_eq!(place(choice.next(5, at(0))), 0);
    choice.heard(Heard::Nothing);
    assert_eq!(choice.next(5, at(0)), NextSource::Feed { place: 1, may_wait: false });
    choice.heard(Heard::Current);
    assert_eq!(choice.next(5, at(0)), NextSource::Feed { place: 1, may_wait: true });
}

#[test]
fn the_store_is_followed_when_three_feeds_say_nothing_and_feeds_are_tried_again() {
    let mut choice = SourceChoice::new(at(0), Duration::from_millis(1200));
    for _ in 0..3 {
        place(choice.next(5, at(100)));
        choice.heard(Heard::Nothing);
    }
    let NextSource::Store { until } = choice.next(5, at(100)) else { panic!("not the store") };
    assert_eq!(choice.next(5, at(200)), NextSource::Store { until });
    assert_eq!(place(choice.next(5, until)), 3);
}

#[test]
fn all_feeds_are_asked_at_once_when_one_lost_the_store_and_then_one_wait_each() {
    let mut choice = SourceChoice::new(at(0), Duration::from_millis(1200));
    let mut asked = Vec::new();
    for _ in 0..8 {
        let NextSource::Feed { place, may_wait } = choice.next(3, at(0)) else { panic!("the store") };
        asked.push((place, may_wait));
        choice.heard(Heard::Stale);
    }
    assert_eq!(asked[..5], [(0, true), (1, false), (2, false), (0, true), (1, true)]);
    assert!(asked[5..].iter().all(|(_, may_wait)| *may_wait));
}

#[test]
fn a_single_silent_feed_is_enough_to_turn_to_the_store() {
    let mut choice = SourceChoice::new(at(0), Duration::from_millis(1200));
    place(choice.next(1, at(0)));
    choice.heard(Heard::Nothing);
    assert!(matches!(choice.next(1, at(0)), NextSource::Store { .. }));
}

#[test]
fn a_follower_that_knows_no_feed_waits_a_little_before_it_asks_the_store() {
    let mut choice = SourceChoice::new(at(0), Duration::from_millis(1200));
    let NextSource::Wait { until } = choice.next(0, at(0)) else { panic!("no patience") };
    assert!(until > at(500) && until < at(2_000));
    assert!(matches!(choice.next(0, until), NextSource::Store { .. }));
}

//! Everything that a feed holds, told in parts: many nodes that start at once are then told it by small answers.

use std::time::Duration;

use sumacdrift_dissemination::{Changes, Feed, FollowRequest, Item, ItemKind};
use sumacdrift_types::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

/// Tells everything in parts, with a change of the feed behind each of them; returns what was told and the parts.
fn told_in_parts(feed: &mut Feed, mut change: impl FnMut(&mut Feed, usize)) -> (Changes, usize) {
    let first = FollowRequest { takes_parts: true, ..FollowRequest::default() };
    let mut told = feed.changes(&first, at(1));
    let mut parts = 1;
    while let Some(behind) = told.more_behind.take() {
        change(feed, parts);
        let next = FollowRequest {
            life: told.life,
            takes_parts: true,
            part_behind: Some(behind),
            ..FollowRequest::default()
        };
        let part = feed.changes(&next, at(1));
        assert!(part.changes.len() < 400, "a part is small");
        told.changes.extend(part.changes);
        told.more_behind = part.more_behind;
        parts += 1;
    }
    (told, parts)
}

fn engine(number: usize, revision: u64) -> Item {
    Item::new(ItemKind::Engine, &format!("i-{number:05}"), vec![7; 300].into(), revision)
}

#[test]
fn what_is_told_in_parts_and_then_is_what_the_feed_holds() {
    let mut feed = Feed::new(5);
    for number in 0..2_000 {
        feed.put(engine(number, 1));
    }
    let (told, parts) = told_in_parts(&mut feed, |feed, part| {
        // In front of the place that was reached, and behind it.
        feed.remove(ItemKind::Engine, "i-00003", 10);
        feed.remove(ItemKind::Engine, &format!("i-{:05}", 1_900 + part), 10);
        feed.put(engine(5_000 + part, 11));
        feed.put(Item::new(ItemKind::Engine, "i-00001", vec![8; 300].into(), 12));
    });
    assert!(parts > 5, "{parts}");
    let mut follower = Feed::new(6);
    let position = told.at;
    follower.merge(told, at(2));
    let later = FollowRequest { life: 5, after: position, takes_parts: true, ..FollowRequest::default() };
    follower.merge(feed.changes(&later, at(2)), at(2));
    assert_eq!(follower.snapshot(), feed.snapshot());
}

#[test]
fn who_does_not_ask_for_parts_is_told_everything_at_once() {
    let mut feed = Feed::new(5);
    for number in 0..2_000 {
        feed.put(engine(number, 1));
    }
    let told = feed.changes(&FollowRequest::default(), at(1));
    assert_eq!((told.changes.len(), told.more_behind), (2_000, None));
}

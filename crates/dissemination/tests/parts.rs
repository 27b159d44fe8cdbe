//! Full responses in parts, which keep each response small when many nodes start at once.

use std::time::Duration;

use sumacdrift_dissemination::{Changes, Feed, FollowRequest, Item, ItemKind};
use sumacdrift_types::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(millis)
}

/// Requests a full response in parts and changes the feed after each; returns the merged response and the
/// number of parts.
fn receive_in_parts(feed: &mut Feed, mut change: impl FnMut(&mut Feed, usize)) -> (Changes, usize) {
    let first = FollowRequest { takes_parts: true, ..FollowRequest::default() };
    let mut response = feed.changes(&first, at(1));
    let mut parts = 1;
    while let Some(after_item) = response.last_item_of_part.take() {
        change(feed, parts);
        let next = FollowRequest {
            incarnation: response.incarnation,
            takes_parts: true,
            part_behind: Some(after_item),
            ..FollowRequest::default()
        };
        let part = feed.changes(&next, at(1));
        assert!(part.changes.len() < 400, "part has too many items");
        response.changes.extend(part.changes);
        response.last_item_of_part = part.last_item_of_part;
        parts += 1;
    }
    (response, parts)
}

fn engine(number: usize, revision: u64) -> Item {
    Item::new(ItemKind::Engine, &format!("i-{number:05}"), vec![7; 300].into(), revision)
}

#[test]
fn parts_and_later_changes_add_up_to_the_feed() {
    let mut feed = Feed::new(5);
    for number in 0..2_000 {
        feed.put(engine(number, 1));
    }
    let (response, parts) = receive_in_parts(&mut feed, |feed, part| {
        // Items before and after the current part.
        feed.remove(ItemKind::Engine, "i-00003", 10, at(1));
        feed.remove(ItemKind::Engine, &format!("i-{:05}", 1_900 + part), 10, at(1));
        feed.put(engine(5_000 + part, 11));
        feed.put(Item::new(ItemKind::Engine, "i-00001", vec![8; 300].into(), 12));
    });
    assert!(parts > 5, "{parts}");
    let mut follower = Feed::new(6);
    let position = response.at;
    follower.merge(response, at(2));
    let later =
        FollowRequest { incarnation: 5, after: position, takes_parts: true, ..FollowRequest::default() };
    follower.merge(feed.changes(&later, at(2)), at(2));
    assert_eq!(follower.snapshot(0, at(2)), feed.snapshot(0, at(2)));
}

#[test]
fn full_response_is_not_split_unless_requested() {
    let mut feed = Feed::new(5);
    for number in 0..2_000 {
        feed.put(engine(number, 1));
    }
    let response = feed.changes(&FollowRequest::default(), at(1));
    assert_eq!((response.changes.len(), response.last_item_of_part), (2_000, None));
}

//! What an answer of a feed costs that tells one change, by the number of items that the feed holds.

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Serialize;
use sumacdrift_dissemination::{Feed, FollowRequest, Item, ItemKind};
use sumacdrift_types::Timestamp;

/// Numbers of items that are measured.
pub(crate) const ITEMS: [usize; 3] = [1_000, 10_000, 20_000];
/// Answers that are timed.
const ANSWERS: u32 = 2_000;
/// Bytes of an engine's entry.
const ENTRY_BYTES: usize = 250;

/// What an answer costs.
#[derive(Debug, Clone, Serialize)]
pub struct FeedAnswerSlope {
    /// Items of the feed.
    pub items: usize,
    /// Microseconds for an answer.
    pub micros: f64,
}

/// Times answers to a follower that lacks the newest change.
pub(crate) fn measure_feed_answers(items: usize) -> FeedAnswerSlope {
    let now = Timestamp::default() + Duration::from_secs(10);
    let mut feed = Feed::new(1);
    for item in 0..items {
        feed.put(entry(item, 1));
    }
    let request = FollowRequest { incarnation: 1, after: feed.position(), ..FollowRequest::default() };
    feed.put(entry(items / 2, 2));
    let begun = Instant::now();
    let told: usize = (0..ANSWERS).map(|_| feed.changes(&request, now).changes.len()).sum();
    let micros = begun.elapsed().as_secs_f64() * 1e6 / f64::from(ANSWERS);
    assert_eq!(told, ANSWERS as usize, "every answer tells the change");
    FeedAnswerSlope { items, micros }
}

fn entry(item: usize, revision: u64) -> Item {
    let content = Bytes::from(vec![revision as u8; ENTRY_BYTES]);
    Item::new(ItemKind::Engine, &format!("engine-{item}"), content, revision)
}

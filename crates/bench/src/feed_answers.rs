//! Benchmark of a feed's answer with one change, by the number of items in the feed.

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Serialize;
use sumacdrift_dissemination::{Feed, FollowRequest, Item, ItemKind};
use sumacdrift_types::Timestamp;

pub(crate) const ITEM_COUNTS: [usize; 3] = [1_000, 10_000, 20_000];
const TIMED_ANSWERS: u32 = 2_000;
const ENTRY_BYTES: usize = 250;

/// Cost of an answer.
#[derive(Debug, Clone, Serialize)]
pub struct FeedAnswerSlope {
    /// Number of items in the feed.
    pub items: usize,
    /// Microseconds per answer.
    pub micros: f64,
}

/// Times answers to a follower that lacks only the latest change.
pub(crate) fn measure_feed_answers(items: usize) -> FeedAnswerSlope {
    let now = Timestamp::default() + Duration::from_secs(10);
    let mut feed = Feed::new(1);
    for item in 0..items {
        feed.put(entry(item, 1));
    }
    let request = FollowRequest { incarnation: 1, after: feed.position(), ..FollowRequest::default() };
    feed.put(entry(items / 2, 2));
    let started = Instant::now();
    let changes: usize = (0..TIMED_ANSWERS).map(|_| feed.changes(&request, now).changes.len()).sum();
    let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(TIMED_ANSWERS);
    assert_eq!(changes, TIMED_ANSWERS as usize, "every answer contains the change");
    FeedAnswerSlope { items, micros }
}

fn entry(item: usize, revision: u64) -> Item {
    let content = Bytes::from(vec![revision as u8; ENTRY_BYTES]);
    Item::new(ItemKind::Engine, &format!("engine-{item}"), content, revision)
}

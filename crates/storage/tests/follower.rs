//! Following feeds: which one, what happens when it fails, and when the store itself is followed.

mod fleet;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use fleet::Fleet;
use sumacdrift_dissemination::{Changes, Item, ItemKind, Listed};
use sumacdrift_storage::{FeedHost, Follower, FollowerSettings, FollowerSink};
use tokio::task::JoinSet;

/// Remembers what it is told, and how often the store was turned to.
#[derive(Default)]
struct Sink {
    contents: Mutex<Vec<String>>,
    store_used: AtomicUsize,
    store_left: Arc<AtomicUsize>,
}

impl Sink {
    fn has(&self, content: &str) -> bool {
        self.contents.lock().expect("contents").iter().any(|known| known == content)
    }

    fn store_used(&self) -> usize {
        self.store_used.load(Ordering::Relaxed)
    }
}

struct CountedEnd(Arc<AtomicUsize>);

impl Drop for CountedEnd {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl FollowerSink for Sink {
    fn take(&self, changes: Changes) {
        let items = changes.changes.into_iter().filter_map(|change| change.item);
        let contents = items.map(|item| String::from_utf8_lossy(&item.content).into_owned());
        self.contents.lock().expect("contents").extend(contents);
    }

    fn knows_anything(&self) -> bool {
        !self.contents.lock().expect("contents").is_empty()
    }

    fn follow_store(&self) -> JoinSet<()> {
        self.store_used.fetch_add(1, Ordering::Relaxed);
        let end = CountedEnd(Arc::clone(&self.store_left));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let _end = end;
            std::future::pending().await
        });
        tasks
    }
}

fn configuration(content: &str, revision: u64) -> Item {
    Item::new(ItemKind::Configuration, "main", Bytes::copy_from_slice(content.as_bytes()), revision)
}

/// The store is heard, and holds this configuration.
fn hears(feed: &FeedHost, content: &str, revision: u64) {
    for (kind, items) in
        [(ItemKind::Configuration, vec![configuration(content, revision)]), (ItemKind::Engine, Vec::new())]
    {
        feed.list(Listed { kind, items, revision, outage: Duration::ZERO });
    }
}

fn follow(fleet: &Fleet, zone: usize) -> Arc<Sink> {
    let sink = Arc::new(Sink::default());
    let settings = FollowerSettings { node: "edge".to_owned(), zone: format!("z{zone}") };
    let follower = Follower::new(
        settings,
        fleet.client(zone),
        fleet.transport(),
        Arc::clone(&sink) as Arc<dyn FollowerSink>,
        fleet::logger(),
    );
    tokio::spawn(follower.run());
    sink
}

async fn pass(time: Duration) {
    tokio::time::sleep(time).await;
}

const MOMENT: Duration = Duration::from_millis(5);

#[tokio::test(start_paused = true)]
async fn a_change_at_the_own_zones_feed_is_known_at_once() {
    let fleet = Fleet::start(3).await;
    for node in &fleet.nodes {
        hears(&node.feed, "first", 1);
    }
    let sink = follow(&fleet, 1);
    pass(MOMENT).await;
    assert!(sink.has("first"));
    pass(Duration::from_secs(20)).await;
    fleet.nodes[1].feed.put(configuration("second", 2));
    pass(MOMENT).await;
    assert!(sink.has("second"));
    assert_eq!(sink.store_used(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_feed_that_falls_silent_is_left_within_two_seconds() {
    let fleet = Fleet::start(3).await;
    for node in &fleet.nodes {
        hears(&node.feed, "first", 1);
    }
    let sink = follow(&fleet, 1);
    pass(MOMENT).await;
    fleet.nodes[1].silence(true);
    for position in [0, 2] {
        fleet.nodes[position].feed.put(configuration("second", 2));
    }
    pass(Duration::from_millis(1_900)).await;
    assert!(sink.has("second"));
    assert_eq!(sink.store_used(), 0);
}

#[tokio::test(start_paused = true)]
async fn the_store_is_followed_while_no_feed_answers() {
    let fleet = Fleet::start(3).await;
    for node in &fleet.nodes {
        hears(&node.feed, "first", 1);
        node.silence(true);
    }
    let sink = follow(&fleet, 1);
    pass(Duration::from_secs(10)).await;
    // Followed once and without a break.
    assert_eq!((sink.store_used(), sink.store_left.load(Ordering::Relaxed)), (1, 0));
    fleet.nodes.iter().for_each(|node| node.silence(false));
    pass(Duration::from_secs(5)).await;
    assert!(sink.has("first"));
    assert_eq!(sink.store_left.load(Ordering::Relaxed), 1);
}

#[tokio::test(start_paused = true)]
async fn a_feed_without_the_store_serves_only_those_who_know_nothing() {
    let fleet = Fleet::start(3).await;
    hears(&fleet.nodes[1].feed, "new", 5);
    for position in [0, 2] {
        fleet.nodes[position].feed.put(configuration("old", 1));
    }
    let knowing = follow(&fleet, 1);
    pass(MOMENT).await;
    assert!(knowing.has("new"));
    fleet.nodes[1].silence(true);
    let starting = follow(&fleet, 0);
    pass(Duration::from_secs(8)).await;
    assert!(!knowing.has("old"));
    assert!(starting.has("old"));
}

#[tokio::test(start_paused = true)]
async fn a_feed_that_lost_the_store_is_left_for_one_that_hears_it() {
    let fleet = Fleet::start(5).await;
    for node in &fleet.nodes {
        hears(&node.feed, "first", 1);
    }
    let sink = follow(&fleet, 1);
    pass(MOMENT).await;
    fleet.nodes[1].feed.store_failed(ItemKind::Configuration);
    pass(Duration::from_millis(300)).await;
    for position in [0, 2, 3, 4] {
        fleet.nodes[position].feed.put(configuration("second", 2));
    }
    pass(MOMENT).await;
    assert!(sink.has("second"));
    assert_eq!(sink.store_used(), 0);
}

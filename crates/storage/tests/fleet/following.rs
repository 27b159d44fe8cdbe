//! A follower of feeds that remembers what it was told, and what the store says to the nodes that follow it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use sumacdrift_dissemination::{Changes, Item, ItemKind, Listed};
use sumacdrift_storage::{FeedHost, Follower, FollowerSettings, FollowerSink, LedgerClient};
use sumacdrift_transport::Transport;
use sumacdrift_types::Location;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Cut, Fleet, logger};

/// Remembers what it is told, and how often the store was turned to.
#[derive(Default)]
pub struct Sink {
    contents: Mutex<Vec<String>>,
    confirmed: Mutex<Option<Instant>>,
    store_used: AtomicUsize,
    pub store_left: Arc<AtomicUsize>,
}

impl Sink {
    pub fn has(&self, content: &str) -> bool {
        self.contents.lock().expect("contents").iter().any(|known| known == content)
    }

    /// When the configuration was last known to be the store's newest.
    pub fn confirmed(&self) -> Option<Instant> {
        *self.confirmed.lock().expect("a time")
    }

    pub fn store_used(&self) -> usize {
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

    fn take_newer(&self, _changes: &Changes) {}

    fn confirmed(&self, as_of: Instant) {
        let mut confirmed = self.confirmed.lock().expect("a time");
        *confirmed = (*confirmed).max(Some(as_of));
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

pub fn configuration(content: &str, revision: u64) -> Item {
    Item::new(ItemKind::Configuration, "main", Bytes::copy_from_slice(content.as_bytes()), revision)
}

/// The store is heard, and holds this configuration.
pub fn hears(feed: &FeedHost, content: &str, revision: u64) {
    for (kind, items) in
        [(ItemKind::Configuration, vec![configuration(content, revision)]), (ItemKind::Engine, Vec::new())]
    {
        feed.list(Listed { kind, items, revision, outage: Duration::ZERO });
    }
}

pub fn follow(fleet: &Fleet, zone: usize) -> Arc<Sink> {
    follow_with(zone, fleet.client(zone), fleet.transport(), None)
}

fn follow_with(
    zone: usize,
    client: Arc<LedgerClient>,
    transport: Arc<Transport>,
    known: Option<&str>,
) -> Arc<Sink> {
    let sink = Arc::new(Sink::default());
    sink.contents.lock().expect("contents").extend(known.map(str::to_owned));
    let start_patience = Duration::from_millis(1200);
    let settings = FollowerSettings {
        node: "edge".to_owned(),
        location: Location::in_zone(&format!("z{zone}")),
        start_patience,
    };
    let follower =
        Follower::new(settings, client, transport, Arc::clone(&sink) as Arc<dyn FollowerSink>, logger());
    tokio::spawn(follower.run());
    sink
}

/// A follower at a node that is cut off from some others, which another node passes questions on for, and that may know
/// something from before.
pub async fn follow_cut_off(fleet: &Fleet, zone: usize, cut: &Cut, known: Option<&str>) -> Arc<Sink> {
    let client = fleet.cut_client(zone, cut.clone());
    let (relay, _) = fleet.relay(0, fleet.client(zone)).await;
    client.learn_relays(vec![relay]);
    follow_with(zone, client, fleet.cut_transport(cut.clone()), known)
}

pub async fn pass(time: Duration) {
    tokio::time::sleep(time).await;
}

pub const MOMENT: Duration = Duration::from_millis(5);

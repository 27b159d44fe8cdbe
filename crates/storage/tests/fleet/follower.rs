//! A follower with a recording sink, and helpers that simulate the store.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use sumacdrift_dissemination::{Changes, Item, ItemKind, ItemList};
use sumacdrift_storage::{FeedHost, Follower, FollowerSettings, FollowerSink, LedgerClient};
use sumacdrift_transport::Transport;
use sumacdrift_types::Location;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Fleet, Partition, logger};

/// Records the received contents, and how often the store was followed.
#[derive(Default)]
pub struct RecordingSink {
    contents: Mutex<Vec<String>>,
    confirmed: Mutex<Option<Instant>>,
    store_follow_count: AtomicUsize,
    pub store_stop_count: Arc<AtomicUsize>,
}

impl RecordingSink {
    pub fn has(&self, content: &str) -> bool {
        self.contents.lock().expect("contents").iter().any(|known| known == content)
    }

    /// When the configuration was last known to be the newest in the store.
    pub fn confirmed(&self) -> Option<Instant> {
        *self.confirmed.lock().expect("a time")
    }

    pub fn store_follow_count(&self) -> usize {
        self.store_follow_count.load(Ordering::Relaxed)
    }
}

struct CountOnDrop(Arc<AtomicUsize>);

impl Drop for CountOnDrop {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl FollowerSink for RecordingSink {
    fn apply(&self, changes: Changes) {
        let items = changes.changes.into_iter().filter_map(|change| change.item);
        let contents = items.map(|item| String::from_utf8_lossy(&item.content).into_owned());
        self.contents.lock().expect("contents").extend(contents);
    }

    fn apply_newer(&self, _changes: &Changes) {}

    fn record_confirmation(&self, as_of: Instant) {
        let mut confirmed = self.confirmed.lock().expect("a time");
        *confirmed = (*confirmed).max(Some(as_of));
    }

    fn record_current_changes(&self) {}

    fn record_current_engines(&self, _as_of: Instant) {}

    fn has_data(&self) -> bool {
        !self.contents.lock().expect("contents").is_empty()
    }

    fn follow_store(&self) -> JoinSet<()> {
        self.store_follow_count.fetch_add(1, Ordering::Relaxed);
        let stop_counter = CountOnDrop(Arc::clone(&self.store_stop_count));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let _stop_counter = stop_counter;
            std::future::pending().await
        });
        tasks
    }
}

pub fn configuration(content: &str, revision: u64) -> Item {
    Item::new(ItemKind::Configuration, "main", Bytes::copy_from_slice(content.as_bytes()), revision)
}

/// Simulates a listing of the store that holds this configuration.
pub fn list_store(feed: &FeedHost, content: &str, revision: u64) {
    for (kind, items) in
        [(ItemKind::Configuration, vec![configuration(content, revision)]), (ItemKind::Engine, Vec::new())]
    {
        feed.replace_kind(ItemList { kind, items, revision, outage: Duration::ZERO });
    }
}

pub fn follow(fleet: &Fleet, zone: usize) -> Arc<RecordingSink> {
    follow_with(zone, fleet.client(zone), fleet.transport(), None)
}

fn follow_with(
    zone: usize,
    client: Arc<LedgerClient>,
    transport: Arc<Transport>,
    known: Option<&str>,
) -> Arc<RecordingSink> {
    let sink = Arc::new(RecordingSink::default());
    sink.contents.lock().expect("contents").extend(known.map(str::to_owned));
    let start_timeout = Duration::from_millis(1200);
    let settings = FollowerSettings {
        node: "edge".to_owned(),
        location: Location::in_zone(&format!("z{zone}")),
        start_timeout,
    };
    let follower =
        Follower::new(settings, client, transport, Arc::clone(&sink) as Arc<dyn FollowerSink>, logger());
    tokio::spawn(follower.run());
    sink
}

/// Starts a follower that is partitioned from some members and has a relay; `known` is what it knew before.
pub async fn follow_partitioned(
    fleet: &Fleet,
    zone: usize,
    partition: &Partition,
    known: Option<&str>,
) -> Arc<RecordingSink> {
    let client = fleet.partitioned_client(zone, partition.clone());
    let (relay, _) = fleet.relay(0, fleet.client(zone)).await;
    client.set_relays(vec![relay]);
    follow_with(zone, client, fleet.partitioned_transport(partition.clone()), known)
}

pub async fn advance(time: Duration) {
    tokio::time::sleep(time).await;
}

pub const PROPAGATION_TIME: Duration = Duration::from_millis(5);

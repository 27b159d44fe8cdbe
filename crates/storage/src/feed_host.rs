//! Feed of one node: filled from the outside store or from feeds of other nodes, and queried by followers on
//! other nodes.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use slog::{Logger, info};
use sumacdrift_dissemination::{Feed, FollowRequest, Item, ItemKind, ItemList, Snapshot};
use sumacdrift_types::Timestamp;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::{to_millis, unix_millis};
use crate::follower::FeedReply;
use crate::quarantine_feed::{PendingFollow, RecentQuarantine};

/// Maximum time that a follow request is held.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Configuration age above which a confirmation wakes followers at once: they may soon reject calls, or
/// already do.
pub const CONFIRMATION_NOTIFY_AGE: Duration = Duration::from_millis(2500);

/// A feed that other nodes follow.
pub struct FeedHost {
    feed: Mutex<Feed>,
    change_count: watch::Sender<u64>,
    recent_quarantine: Mutex<RecentQuarantine>,
    /// Since when no merged feed belongs to a node in contact with the store.
    without_current_peer_since: Mutex<Option<Instant>>,
    started: Instant,
    logger: Logger,
}

impl FeedHost {
    /// A feed restored from the snapshot of an earlier process.
    pub fn new(snapshot: Snapshot, logger: Logger) -> Self {
        let mut feed = Feed::new(rand::random());
        feed.restore(snapshot, unix_millis(), Timestamp::default());
        let change_count = watch::Sender::new(0);
        Self {
            feed: Mutex::new(feed),
            change_count,
            recent_quarantine: Mutex::default(),
            without_current_peer_since: Mutex::default(),
            started: Instant::now(),
            logger,
        }
    }

    /// Replaces all items of a kind by a complete listing.
    pub fn replace_kind(&self, list: ItemList) {
        let now = self.now();
        let (kind, outage) = (list.kind, list.outage);
        if self.update(|feed| feed.apply_list(list, now)) {
            info!(self.logger, "store listed"; "event" => "store_listed", "kind" => ?kind,
                "outage_ms" => outage.as_millis() as u64, "position" => self.feed().position());
        }
    }

    /// Adds or updates an item, unless a newer revision of it is known.
    pub fn put(&self, item: Item) {
        self.update(|feed| feed.put(item));
    }

    /// Removes an item that the store deleted at `revision`.
    pub fn remove(&self, kind: ItemKind, name: &str, revision: u64) {
        let now = self.now();
        self.update(|feed| feed.remove(kind, name, revision, now));
    }

    /// Records that a request to the store for a kind failed.
    pub fn record_store_failure(&self, kind: ItemKind) {
        self.update(|feed| feed.record_store_failure(kind));
    }

    /// Records that the held configuration was the newest in the store at this time. Followers ask often
    /// enough to learn of it, so they are woken only if there was no confirmation for a while.
    pub fn confirm_configuration(&self, as_of: Instant) {
        // A time before the start of this process has no position on its clock.
        let Some(since_start) = as_of.checked_duration_since(self.started) else { return };
        let as_of = Timestamp::default() + since_start;
        let should_notify = self.configuration_age().is_none_or(|age| age > CONFIRMATION_NOTIFY_AGE);
        self.update(|feed| {
            feed.confirm_configuration(as_of);
            should_notify
        });
    }

    /// Time since the held configuration was known to be the newest in the store; `None` if it never was.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.feed().configuration_age(self.now())
    }

    /// Merges a reply of the feed of another node.
    pub(crate) fn merge(&self, reply: FeedReply) {
        let now = self.now();
        let items = reply.changes.changes.iter().filter_map(|change| change.item.as_ref());
        let quarantined = items.filter(|item| item.known_kind() == Some(ItemKind::Quarantine));
        self.recent_quarantine().add(quarantined, unix_millis());
        self.update(|feed| feed.merge(reply.changes, now));
        if let Some(confirmed) = reply.configuration_confirmed {
            self.confirm_configuration(confirmed);
        }
    }

    /// Records that the feed of another node no longer replies.
    pub(crate) fn remove_peer(&self, incarnation: u64) {
        self.update(|feed| feed.remove_peer(incarnation));
    }

    /// All items, with the highest revision of the store.
    pub fn snapshot(&self) -> (u64, Snapshot) {
        let feed = self.feed();
        (feed.revision(), feed.snapshot(unix_millis(), self.now()))
    }

    /// Looks up an item.
    pub fn item(&self, kind: ItemKind, name: &str) -> Option<Item> {
        self.feed().item(kind, name).cloned()
    }

    pub(crate) fn items(&self, kind: ItemKind) -> Vec<Item> {
        self.feed().items(kind).cloned().collect()
    }

    /// Whether the held items are up to date, see [`Feed::is_current`].
    pub fn is_current(&self) -> bool {
        self.feed().is_current()
    }

    /// Time without a merged feed of a node in contact with the store, counted from the first call that finds
    /// none.
    pub fn time_without_current_peer(&self) -> Duration {
        let mut without_current_peer_since =
            self.without_current_peer_since.lock().unwrap_or_else(PoisonError::into_inner);
        if self.feed().has_current_peer() {
            *without_current_peer_since = None;
            return Duration::ZERO;
        }
        without_current_peer_since.get_or_insert_with(Instant::now).elapsed()
    }

    /// Notifies of changes; the value is their count.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// Answers a follow request: at once if there are changes for it, otherwise after the next one or the
    /// requested wait.
    pub async fn answer(&self, request: Bytes) -> Bytes {
        let request = FollowRequest::decode(request).unwrap_or_default();
        let asked = Instant::now();
        let mut change_count = self.change_count.subscribe();
        if !self.feed().has_changes_for(&request) {
            let pending = PendingFollow::new(self, request.is_edge);
            let wait = Duration::from_millis(request.wait_millis).min(MAX_WAIT);
            // A reply without changes is sent at the timeout.
            let _ = tokio::time::timeout(wait, change_count.changed()).await;
            pending.finish();
        }
        let held = asked.elapsed();
        let mut changes = self.feed().changes(&request, self.now());
        changes.held_millis = to_millis(held);
        Bytes::from(changes.encode_to_vec())
    }

    fn update(&self, change: impl FnOnce(&mut Feed) -> bool) -> bool {
        let is_changed = change(&mut self.feed());
        if is_changed {
            self.change_count.send_modify(|changes| *changes += 1);
        }
        is_changed
    }

    /// Requests that were put in quarantine recently.
    pub(crate) fn recent_quarantine(&self) -> MutexGuard<'_, RecentQuarantine> {
        self.recent_quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn feed(&self) -> MutexGuard<'_, Feed> {
        self.feed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }
}

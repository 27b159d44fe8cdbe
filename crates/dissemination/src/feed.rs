//! Objects of the store as known on one node, with a position for each change.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::message::{Changes, FollowRequest, Item, ItemChange, ItemKey, ItemKind, Snapshot};
use crate::recent_changes::RecentChanges;

/// Removals kept; a follower that lags further gets a full response.
const MAX_REMOVALS: usize = 512;
/// Bytes of names and contents in one part of a full response. Takes 11 ms on a link of 47 Mbit/s, which is
/// short beside the timeout of a request.
const PART_BYTES: usize = 64 << 10;
/// Requests in quarantine that are kept. The one that expires first gives way.
const MAX_QUARANTINED: usize = 1024;
/// How long after a list responses still report the outage before it. Engines that could not report during
/// the outage have reported again by the end of this period.
const OUTAGE_REPORT_PERIOD: Duration = Duration::from_secs(3);

/// All items of a kind, as listed by the store.
#[derive(Debug, Clone)]
pub struct ItemList {
    /// Kind of all listed items.
    pub kind: ItemKind,
    /// Every item of the kind at `revision`.
    pub items: Vec<Item>,
    /// Store revision of the list.
    pub revision: u64,
    /// Duration of the store outage that the list ended; zero if there was none.
    pub outage: Duration,
}

/// Removal of an item.
#[derive(Debug, Clone, Copy)]
struct Removal {
    /// Store revision.
    revision: u64,
    learned_at: Timestamp,
    /// Time since the removal when this feed learned of it.
    age_when_learned: Duration,
}

impl Removal {
    fn now(revision: u64, now: Timestamp) -> Self {
        Self { revision, learned_at: now, age_when_learned: Duration::ZERO }
    }

    fn to_change(self, key: &Key, now: Timestamp) -> ItemChange {
        let age = now.since(self.learned_at) + self.age_when_learned;
        let item = Item { kind: key.0, name: key.1.clone(), revision: self.revision, ..Item::default() };
        let removed_millis_ago = Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        ItemChange { item: Some(item), is_gone: true, removed_millis_ago }
    }
}

/// Age of a removal. Zero if an earlier build left it out: engines then count as cold for too long, not too briefly.
fn age_of(removed_millis_ago: Option<u64>) -> Duration {
    Duration::from_millis(removed_millis_ago.unwrap_or(0))
}

#[derive(Debug, Clone)]
struct StoredItem {
    position: u64,
    item: Item,
}

pub(crate) type Key = (i32, String);

/// By kind: store revision up to which all changes are known.
type KnownRevisions = BTreeMap<i32, u64>;

/// Items of the store as known on one node, and their changes by position.
#[derive(Debug, Clone)]
pub struct Feed {
    incarnation: u64,
    position: u64,
    revision: u64,
    stored: BTreeMap<Key, StoredItem>,
    recent_changes: RecentChanges,
    removals: VecDeque<(u64, Key)>,
    /// Details of the removals that are still kept.
    kept_removals: BTreeMap<Key, Removal>,
    known_revisions: KnownRevisions,
    /// Followers behind this position get a full response.
    incremental_since: u64,
    outage: Duration,
    outage_listed_at: Timestamp,
    unavailable_kinds: BTreeSet<ItemKind>,
    /// When the configuration was last known to be the store's newest.
    configuration_confirmed_at: Option<Timestamp>,
    /// Incarnations of the feeds that are merged into this one, and whether their nodes reach the store.
    peers: BTreeMap<u64, bool>,
}

impl Feed {
    /// Starts empty. `incarnation` distinguishes this feed from those of other nodes and of earlier processes of
    /// this node.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation: incarnation.max(1),
            position: 0,
            revision: 0,
            stored: BTreeMap::new(),
            recent_changes: RecentChanges::default(),
            removals: VecDeque::new(),
            kept_removals: BTreeMap::new(),
            known_revisions: KnownRevisions::new(),
            incremental_since: 0,
            outage: Duration::ZERO,
            outage_listed_at: Timestamp::default(),
            unavailable_kinds: BTreeSet::from([ItemKind::Configuration, ItemKind::Engine]),
            configuration_confirmed_at: None,
            peers: BTreeMap::new(),
        }
    }

    /// Records that the known configuration was the store's newest at `as_of`.
    pub fn confirm_configuration(&mut self, as_of: Timestamp) {
        self.configuration_confirmed_at = self.configuration_confirmed_at.max(Some(as_of));
    }

    /// Time since the known configuration was last confirmed as the store's newest; `None` if it never was.
    pub fn configuration_age(&self, now: Timestamp) -> Option<Duration> {
        self.configuration_confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Loads what an earlier process knew. The feed is current only once it has reached the store. `unix_millis` is the
    /// current Unix time, by which removals have aged meanwhile.
    pub fn restore(&mut self, snapshot: Snapshot, unix_millis: u64, now: Timestamp) {
        let elapsed = Duration::from_millis(unix_millis.saturating_sub(snapshot.saved_unix_millis));
        for item in snapshot.items {
            self.put(item);
        }
        for ended in snapshot.ended_evacuations {
            let Some(item) = ended.item else { continue };
            let removal = Removal {
                revision: item.revision,
                learned_at: now,
                age_when_learned: age_of(ended.removed_millis_ago) + elapsed,
            };
            self.remove_item((item.kind, item.name), removal);
        }
    }

    /// Returns what the next process of this node needs, to be persisted. `unix_millis` is the current Unix time.
    pub fn snapshot(&self, unix_millis: u64, now: Timestamp) -> Snapshot {
        let ended = self.kept_removals.iter().filter(|(key, _)| key.0 == ItemKind::Evacuation as i32);
        Snapshot {
            items: self.stored.values().map(|stored| stored.item.clone()).collect(),
            ended_evacuations: ended.map(|(key, removal)| removal.to_change(key, now)).collect(),
            saved_unix_millis: unix_millis,
        }
    }

    /// Looks up an item by kind and name.
    pub fn item(&self, kind: ItemKind, name: &str) -> Option<&Item> {
        self.stored.get(&(kind as i32, name.to_owned())).map(|stored| &stored.item)
    }

    /// Iterates over the items of a kind in order of name.
    pub fn items(&self, kind: ItemKind) -> impl Iterator<Item = &Item> {
        let of_kind = self.stored.iter().filter(move |((stored_kind, _), _)| *stored_kind == kind as i32);
        of_kind.map(|(_, stored)| &stored.item)
    }

    /// Highest store revision seen in any item, list or change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Position of the latest change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Whether the store has listed every required kind since its last failure.
    pub fn is_connected_to_store(&self) -> bool {
        self.unavailable_kinds.is_empty()
    }

    /// Whether the items are up to date: this node reaches the store, or merges the feed of a node that does.
    pub fn is_current(&self) -> bool {
        self.is_connected_to_store() || self.has_current_peer()
    }

    /// Whether a merged feed is of a node that reaches the store.
    pub fn has_current_peer(&self) -> bool {
        self.peers.values().any(|hears_store| *hears_store)
    }

    /// Drops a merged feed that no longer responds; returns whether [`Self::is_current`] changed.
    pub fn remove_peer(&mut self, incarnation: u64) -> bool {
        let was_current = self.is_current();
        self.peers.remove(&incarnation);
        was_current != self.is_current()
    }

    /// Merges the changes of another node's feed; returns whether an item or [`Self::is_current`] changed.
    /// The newer revision of an item wins, whichever feed it comes from.
    pub fn merge(&mut self, changes: Changes, now: Timestamp) -> bool {
        let (was_current, before) = (self.is_current(), self.position);
        self.peers.insert(changes.incarnation, changes.hears_store);
        let complete_revisions = complete_revisions(&changes);
        if changes.is_full {
            self.remove_missing(&changes, now);
        }
        for change in changes.changes {
            let Some(item) = change.item else { continue };
            if change.is_gone {
                let age_when_learned = age_of(change.removed_millis_ago);
                let removal = Removal { revision: item.revision, learned_at: now, age_when_learned };
                self.remove_item((item.kind, item.name), removal);
            } else {
                self.put(item);
            }
        }
        for (kind, revision) in complete_revisions {
            self.advance_known_revision(kind, revision);
        }
        was_current != self.is_current() || self.position != before
    }

    /// Removes items that a full response lacks although its feed knows newer revisions.
    fn remove_missing(&mut self, changes: &Changes, now: Timestamp) {
        let outage = Duration::from_millis(changes.outage_millis);
        for (kind, revision) in complete_revisions(changes) {
            let items = changes.changes.iter().filter_map(|change| change.item.as_ref());
            let names =
                items.filter(|item| item.kind == kind as i32).map(|item| item.name.as_str()).collect();
            self.remove_unlisted(kind, &names, revision, outage, now);
        }
    }

    /// Removes the items of a kind that are not in `names`, the full list at `revision`.
    fn remove_unlisted(
        &mut self,
        kind: ItemKind,
        names: &BTreeSet<&str>,
        revision: u64,
        outage: Duration,
        now: Timestamp,
    ) {
        let of_kind = self.stored.iter().filter(|((stored_kind, _), _)| *stored_kind == kind as i32);
        let missing = of_kind
            .filter(|((_, name), stored)| stored.item.revision <= revision && !names.contains(name.as_str()));
        let missing: Vec<Key> = missing.map(|(key, _)| key.clone()).collect();
        if !missing.is_empty() && !outage.is_zero() {
            // Forces a full response, by which followers learn of the outage.
            self.incremental_since = self.position + 1;
            self.outage = outage;
            self.outage_listed_at = now;
        }
        for key in missing {
            self.remove_key(key, Removal::now(revision, now));
        }
    }

    fn advance_known_revision(&mut self, kind: ItemKind, revision: u64) {
        self.revision = self.revision.max(revision);
        let known_revision = self.known_revisions.entry(kind as i32).or_default();
        *known_revision = revision.max(*known_revision);
    }

    fn known_revision(&self, kind: ItemKind) -> u64 {
        self.known_revisions.get(&(kind as i32)).copied().unwrap_or(0)
    }

    /// Records that a request to the store for a kind failed; returns whether the kind was available before.
    pub fn record_store_failure(&mut self, kind: ItemKind) -> bool {
        self.unavailable_kinds.insert(kind)
    }

    /// Replaces the items of a kind, except newer ones, by a list; returns whether an item changed or the
    /// kind was unavailable before.
    pub fn apply_list(&mut self, list: ItemList, now: Timestamp) -> bool {
        let was_unavailable = self.unavailable_kinds.remove(&list.kind);
        let before = self.position;
        let names = list.items.iter().map(|item| item.name.as_str()).collect();
        self.remove_unlisted(list.kind, &names, list.revision, list.outage, now);
        for item in list.items {
            self.put(item);
        }
        self.advance_known_revision(list.kind, list.revision);
        was_unavailable || self.position != before
    }

    /// Stores an item unless a newer revision or its removal is known; returns whether its content changed.
    pub fn put(&mut self, item: Item) -> bool {
        self.revision = self.revision.max(item.revision);
        let key = (item.kind, item.name.clone());
        if self.kept_removals.get(&key).is_some_and(|removal| removal.revision >= item.revision) {
            return false;
        }
        if let Some(stored) = self.stored.get_mut(&key) {
            if stored.item.revision >= item.revision {
                return false;
            }
            if stored.item.content == item.content {
                stored.item.revision = item.revision;
                return false;
            }
        }
        self.kept_removals.remove(&key);
        self.position += 1;
        self.recent_changes.record(self.position, key.clone());
        let is_quarantine = item.known_kind() == Some(ItemKind::Quarantine);
        self.stored.insert(key, StoredItem { position: self.position, item });
        if is_quarantine {
            self.bound_quarantine();
        }
        true
    }

    /// Drops the request in quarantine that expires first if there are too many. Followers drop them by themselves.
    fn bound_quarantine(&mut self) {
        if self.items(ItemKind::Quarantine).count() <= MAX_QUARANTINED {
            return;
        }
        let first = self.items(ItemKind::Quarantine).min_by_key(|item| &item.content);
        if let Some(key) = first.map(|item| (item.kind, item.name.clone())) {
            self.stored.remove(&key);
        }
    }

    /// Removes an item at a store revision; returns whether followers learn anything from it.
    pub fn remove(&mut self, kind: ItemKind, name: &str, revision: u64, now: Timestamp) -> bool {
        self.remove_item((kind as i32, name.to_owned()), Removal::now(revision, now))
    }

    /// Removes an item, whose kind may be one that only a newer build knows.
    fn remove_item(&mut self, key: Key, removal: Removal) -> bool {
        self.revision = self.revision.max(removal.revision);
        if self.stored.get(&key).is_some_and(|stored| stored.item.revision > removal.revision) {
            return false;
        }
        self.remove_key(key, removal)
    }

    fn remove_key(&mut self, key: Key, removal: Removal) -> bool {
        let was_stored = self.stored.remove(&key).is_some();
        // The end of an evacuation concerns followers that never knew of the evacuation, too.
        let is_unseen_end = key.0 == ItemKind::Evacuation as i32
            && self.kept_removals.get(&key).is_none_or(|known| known.revision < removal.revision);
        if !was_stored && !is_unseen_end {
            return false;
        }
        self.position += 1;
        self.removals.retain(|(_, known)| *known != key);
        self.kept_removals.insert(key.clone(), removal);
        self.removals.push_back((self.position, key));
        if self.removals.len() > MAX_REMOVALS {
            self.evict_removal();
        }
        true
    }

    /// Evicts the oldest removal. Ends of evacuations are kept the longest: followers that start later need them, and
    /// there are few zones.
    fn evict_removal(&mut self) {
        let is_evictable = |(_, key): &(u64, Key)| key.0 != ItemKind::Evacuation as i32;
        let oldest = self.removals.iter().position(is_evictable).unwrap_or(0);
        if let Some((position, evicted)) = self.removals.remove(oldest) {
            self.kept_removals.remove(&evicted);
            self.incremental_since = self.incremental_since.max(position);
        }
    }

    /// Whether a response to this request would carry anything new.
    pub fn has_changes_for(&self, request: &FollowRequest) -> bool {
        request.incarnation != self.incarnation
            || request.after < self.position
            || request.part_behind.is_some()
    }

    /// Returns the changes that a follower lacks, or a full response if its position is unknown or too old.
    pub fn changes(&self, request: &FollowRequest, now: Timestamp) -> Changes {
        let is_continuation = request.part_behind.is_some();
        let is_full = is_continuation
            || request.incarnation != self.incarnation
            || request.after < self.incremental_since;
        let after = if is_full { 0 } else { request.after };
        let mut changes: Vec<ItemChange> = Vec::new();
        // In a full response, items that are missing count as removed. This is not enough for evacuations: a
        // follower that learned of one from another feed drops it only by the revision of its removal, as
        // this feed may lag behind the other.
        let sends_removal = |kind: i32| !is_full || kind == ItemKind::Evacuation as i32;
        let removals = self.removals.iter().filter(|(position, key)| {
            *position > after && sends_removal(key.0) && !is_continuation && !self.stored.contains_key(key)
        });
        changes
            .extend(removals.filter_map(|(_, key)| Some(self.kept_removals.get(key)?.to_change(key, now))));
        let to_change = |stored: &StoredItem| ItemChange {
            item: Some(stored.item.clone()),
            is_gone: false,
            removed_millis_ago: None,
        };
        let mut last_item_of_part = None;
        if is_full && request.takes_parts {
            last_item_of_part =
                self.visit_part(request.part_behind.as_ref(), |stored| changes.push(to_change(stored)));
        } else {
            changes.extend(self.changed_since(after).map(to_change));
        }
        let is_recent = now.since(self.outage_listed_at) < OUTAGE_REPORT_PERIOD;
        let outage = if is_full && is_recent { self.outage } else { Duration::ZERO };
        // Rounded up, so that the age is never understated.
        let age = self.configuration_age(now).map(|age| age + Duration::from_millis(1));
        Changes {
            incarnation: self.incarnation,
            at: self.position,
            is_full,
            outage_millis: u64::try_from(outage.as_millis()).unwrap_or(u64::MAX),
            is_current: self.is_current(),
            changes,
            hears_store: self.is_connected_to_store(),
            configurations_to: self.known_revision(ItemKind::Configuration),
            engines_to: self.known_revision(ItemKind::Engine),
            evacuations_to: self.known_revision(ItemKind::Evacuation),
            configuration_age_millis: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            held_millis: 0,
            last_item_of_part,
        }
    }

    /// Items that changed after a position and still exist.
    fn changed_since(&self, after: u64) -> impl Iterator<Item = &StoredItem> {
        let recent = self.recent_changes.since(after);
        let all = self.stored.values().filter(move |stored| stored.position > after);
        // Either `all` or `recent` is empty.
        let all = recent.is_none().then_some(all).into_iter().flatten();
        let recent = recent.into_iter().flatten();
        let still_present = recent
            .filter_map(|(position, key)| self.stored.get(key).filter(|stored| stored.position == *position));
        still_present.chain(all)
    }

    /// Visits the items of one part, those after `after`; returns the last one if there are more.
    fn visit_part(&self, after: Option<&ItemKey>, mut visit: impl FnMut(&StoredItem)) -> Option<ItemKey> {
        let after = after.map(|key| (key.kind, key.name.clone()));
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut bytes = 0;
        let mut last: Option<&Key> = None;
        for (key, stored) in self.stored.range((start, Bound::Unbounded)) {
            if let Some((kind, name)) = last.filter(|_| bytes >= PART_BYTES) {
                return Some(ItemKey { kind: *kind, name: name.clone() });
            }
            bytes += key.1.len() + stored.item.content.len();
            last = Some(key);
            visit(stored);
        }
        None
    }
}

/// Store revisions up to which the changes are complete, for each kind whose items may be removed.
fn complete_revisions(changes: &Changes) -> [(ItemKind, u64); 3] {
    [
        (ItemKind::Configuration, changes.configurations_to),
        (ItemKind::Engine, changes.engines_to),
        (ItemKind::Evacuation, changes.evacuations_to),
    ]
}

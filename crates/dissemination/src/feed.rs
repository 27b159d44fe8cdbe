//! What one node has learned from the store, with a position for each change.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::message::{Changes, FollowRequest, Item, ItemChange, ItemKey, ItemKind, Snapshot};
use crate::recent::RecentChanges;

/// Removals that are remembered; a follower that is further behind gets everything.
const REMEMBERED_REMOVALS: usize = 512;
/// Content of one part of everything there is. Small beside what a link carries in the time in which an answer is waited
/// for: 11 ms of 47 Mbit/s.
const PART_BYTES: usize = 64 << 10;
/// How long after a list an outage before it is told to followers: engines that could not report meanwhile take that
/// long to be back.
const OUTAGE_MATTERS_FOR: Duration = Duration::from_secs(3);

/// A list of all items of a kind.
#[derive(Debug, Clone)]
pub struct Listed {
    /// The kind.
    pub kind: ItemKind,
    /// The items.
    pub items: Vec<Item>,
    /// The store's revision.
    pub revision: u64,
    /// How long the store was out of reach before.
    pub outage: Duration,
}

#[derive(Debug, Clone)]
struct Held {
    position: u64,
    item: Item,
}

pub(crate) type Key = (i32, String);

/// Of each kind, the revision of the store up to which everything is known.
type KnownTo = BTreeMap<i32, u64>;

/// What a node has learned from the store.
#[derive(Debug, Clone)]
pub struct Feed {
    life: u64,
    at: u64,
    revision: u64,
    held: BTreeMap<Key, Held>,
    recent: RecentChanges,
    removed: VecDeque<(u64, Key)>,
    /// Revisions of the store at which items that are gone went, as long as they are remembered.
    gone: BTreeMap<Key, u64>,
    known_to: KnownTo,
    whole_since: u64,
    outage: Duration,
    listed_at: Timestamp,
    silent: BTreeSet<ItemKind>,
    /// When the configuration held was last known to be the store's newest.
    confirmed: Option<Timestamp>,
    /// Feeds of other nodes that this one takes in, and whether each of them hears from the store.
    peers: BTreeMap<u64, bool>,
}

impl Feed {
    /// A feed that knows nothing yet. `life` tells it from the feeds of other nodes and of other lives of this one.
    pub fn new(life: u64) -> Self {
        Self {
            life: life.max(1),
            at: 0,
            revision: 0,
            held: BTreeMap::new(),
            recent: RecentChanges::default(),
            removed: VecDeque::new(),
            gone: BTreeMap::new(),
            known_to: KnownTo::new(),
            whole_since: 0,
            outage: Duration::ZERO,
            listed_at: Timestamp::default(),
            silent: BTreeSet::from([ItemKind::Configuration, ItemKind::Engine]),
            confirmed: None,
            peers: BTreeMap::new(),
        }
    }

    /// The configuration held was the store's newest at this time.
    pub fn confirm_configuration(&mut self, as_of: Timestamp) {
        self.confirmed = self.confirmed.max(Some(as_of));
    }

    /// How long ago the configuration held was known to be the store's newest; `None` where it never was.
    pub fn configuration_age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Takes in what an earlier life held. The feed is not current before it has heard from the store.
    pub fn restore(&mut self, snapshot: Snapshot) {
        for item in snapshot.items {
            self.put(item);
        }
    }

    /// Everything held.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { items: self.held.values().map(|held| held.item.clone()).collect() }
    }

    /// An item.
    pub fn item(&self, kind: ItemKind, name: &str) -> Option<&Item> {
        self.held.get(&(kind as i32, name.to_owned())).map(|held| &held.item)
    }

    /// The items of a kind.
    pub fn items(&self, kind: ItemKind) -> impl Iterator<Item = &Item> {
        let of_kind = self.held.iter().filter(move |((held_kind, _), _)| *held_kind == kind as i32);
        of_kind.map(|(_, held)| &held.item)
    }

    /// The highest revision of the store that was heard of.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Position of the last change.
    pub fn position(&self) -> u64 {
        self.at
    }

    /// Whether the store itself was heard of every kind since it last failed.
    pub fn hears_store(&self) -> bool {
        self.silent.is_empty()
    }

    /// Whether what is held is up to date: the store is heard, here or by a node whose feed is taken in.
    pub fn is_current(&self) -> bool {
        self.hears_store() || self.has_current_peer()
    }

    /// Whether any feed that is taken in is of a node that hears from the store.
    pub fn has_current_peer(&self) -> bool {
        self.peers.values().any(|hears_store| *hears_store)
    }

    /// A feed of another node that was taken in says nothing more; returns whether that is news.
    pub fn peer_lost(&mut self, life: u64) -> bool {
        let was_current = self.is_current();
        self.peers.remove(&life);
        was_current != self.is_current()
    }

    /// Takes in what another node's feed told; returns whether anything is new. Of an item the newer revision counts,
    /// whoever told it.
    pub fn merge(&mut self, changes: Changes, now: Timestamp) -> bool {
        let (was_current, before) = (self.is_current(), self.at);
        self.peers.insert(changes.life, changes.hears_store);
        let known_to = told_up_to(&changes);
        if changes.is_whole {
            self.remove_unnamed(&changes, now);
        }
        for change in changes.changes {
            let Some(item) = change.item else { continue };
            if change.is_gone {
                self.remove_item((item.kind, item.name), item.revision);
            } else {
                self.put(item);
            }
        }
        for (kind, revision) in known_to {
            self.knows_to(kind, revision);
        }
        was_current != self.is_current() || self.at != before
    }

    /// Removes what another feed does not hold although it knows more.
    fn remove_unnamed(&mut self, changes: &Changes, now: Timestamp) {
        let outage = Duration::from_millis(changes.outage_millis);
        for (kind, revision) in told_up_to(changes) {
            let items = changes.changes.iter().filter_map(|change| change.item.as_ref());
            let names =
                items.filter(|item| item.kind == kind as i32).map(|item| item.name.as_str()).collect();
            self.remove_besides(kind, &names, revision, outage, now);
        }
    }

    /// Removes items of a kind that were not among all there were at a revision.
    fn remove_besides(
        &mut self,
        kind: ItemKind,
        names: &BTreeSet<&str>,
        revision: u64,
        outage: Duration,
        now: Timestamp,
    ) {
        let of_kind = self.held.iter().filter(|((held_kind, _), _)| *held_kind == kind as i32);
        let gone = of_kind
            .filter(|((_, name), held)| held.item.revision <= revision && !names.contains(name.as_str()));
        let gone: Vec<Key> = gone.map(|(key, _)| key.clone()).collect();
        if !gone.is_empty() && !outage.is_zero() {
            // Followers must learn of the outage, so they get everything anew.
            self.whole_since = self.at + 1;
            self.outage = outage;
            self.listed_at = now;
        }
        for key in gone {
            self.remove_key(key, revision);
        }
    }

    fn knows_to(&mut self, kind: ItemKind, revision: u64) {
        self.revision = self.revision.max(revision);
        let known_to = self.known_to.entry(kind as i32).or_default();
        *known_to = revision.max(*known_to);
    }

    fn known_to(&self, kind: ItemKind) -> u64 {
        self.known_to.get(&(kind as i32)).copied().unwrap_or(0)
    }

    /// A call to the store about a kind failed; returns whether that is news.
    pub fn store_failed(&mut self, kind: ItemKind) -> bool {
        self.silent.insert(kind)
    }

    /// Takes in a list of all items of a kind; returns whether anything is new.
    pub fn list(&mut self, listed: Listed, now: Timestamp) -> bool {
        let was_silent = self.silent.remove(&listed.kind);
        let before = self.at;
        let names = listed.items.iter().map(|item| item.name.as_str()).collect();
        self.remove_besides(listed.kind, &names, listed.revision, listed.outage, now);
        for item in listed.items {
            self.put(item);
        }
        self.knows_to(listed.kind, listed.revision);
        was_silent || self.at != before
    }

    /// Takes in an item; returns whether it is new.
    pub fn put(&mut self, item: Item) -> bool {
        self.revision = self.revision.max(item.revision);
        let key = (item.kind, item.name.clone());
        if self.gone.get(&key).is_some_and(|gone| *gone >= item.revision) {
            return false;
        }
        if let Some(held) = self.held.get_mut(&key) {
            if held.item.revision >= item.revision {
                return false;
            }
            if held.item.content == item.content {
                held.item.revision = item.revision;
                return false;
            }
        }
        self.gone.remove(&key);
        self.at += 1;
        self.recent.note(self.at, key.clone());
        self.held.insert(key, Held { position: self.at, item });
        true
    }

    /// An item is gone since a revision of the store; returns whether it was there.
    pub fn remove(&mut self, kind: ItemKind, name: &str, revision: u64) -> bool {
        self.remove_item((kind as i32, name.to_owned()), revision)
    }

    /// An item is gone, which may be of a kind that only a newer build knows.
    fn remove_item(&mut self, key: Key, revision: u64) -> bool {
        self.revision = self.revision.max(revision);
        if self.held.get(&key).is_some_and(|held| held.item.revision > revision) {
            return false;
        }
        self.remove_key(key, revision)
    }

    fn remove_key(&mut self, key: Key, revision: u64) -> bool {
        if self.held.remove(&key).is_none() {
            return false;
        }
        self.at += 1;
        self.gone.insert(key.clone(), revision);
        self.removed.push_back((self.at, key));
        if self.removed.len() > REMEMBERED_REMOVALS
            && let Some((position, forgotten)) = self.removed.pop_front()
        {
            self.gone.remove(&forgotten);
            self.whole_since = self.whole_since.max(position);
        }
        true
    }

    /// Whether a follower would be told something that it does not know.
    pub fn has_news_for(&self, request: &FollowRequest) -> bool {
        request.life != self.life || request.after < self.at || request.part_behind.is_some()
    }

    /// What a follower does not know yet.
    pub fn changes(&self, request: &FollowRequest, now: Timestamp) -> Changes {
        let is_later_part = request.part_behind.is_some();
        let is_whole = is_later_part || request.life != self.life || request.after < self.whole_since;
        let after = if is_whole { 0 } else { request.after };
        let mut changes: Vec<ItemChange> = Vec::new();
        // Whoever gets everything takes what is missing for gone. Of an evacuation that is not enough: a follower that
        // heard of it in another feed takes it back only by its revision, as this feed may be behind that one.
        let is_told = |kind: i32| !is_whole || kind == ItemKind::Evacuation as i32;
        let removed = self.removed.iter().filter(|(position, key)| {
            *position > after && is_told(key.0) && !is_later_part && !self.held.contains_key(key)
        });
        changes.extend(removed.map(|(_, (kind, name))| {
            let revision = self.gone.get(&(*kind, name.clone())).copied().unwrap_or(0);
            let item = Item { kind: *kind, name: name.clone(), revision, ..Item::default() };
            ItemChange { item: Some(item), is_gone: true }
        }));
        let there = |held: &Held| ItemChange { item: Some(held.item.clone()), is_gone: false };
        let mut more_behind = None;
        if is_whole && request.takes_parts {
            more_behind = self.part(request.part_behind.as_ref(), |held| changes.push(there(held)));
        } else {
            changes.extend(self.changed_since(after).map(there));
        }
        let is_recent = now.since(self.listed_at) < OUTAGE_MATTERS_FOR;
        let outage = if is_whole && is_recent { self.outage } else { Duration::ZERO };
        // Rounded up, as what is older must not seem newer.
        let age = self.configuration_age(now).map(|age| age + Duration::from_millis(1));
        Changes {
            life: self.life,
            at: self.at,
            is_whole,
            outage_millis: u64::try_from(outage.as_millis()).unwrap_or(u64::MAX),
            is_current: self.is_current(),
            changes,
            hears_store: self.hears_store(),
            configurations_to: self.known_to(ItemKind::Configuration),
            engines_to: self.known_to(ItemKind::Engine),
            evacuations_to: self.known_to(ItemKind::Evacuation),
            configuration_age_millis: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            held_millis: 0,
            more_behind,
        }
    }

    /// Items that changed behind a position and are still there.
    fn changed_since(&self, after: u64) -> impl Iterator<Item = &Held> {
        let recent = self.recent.since(after);
        let all = self.held.values().filter(move |held| held.position > after);
        // One of the two is empty.
        let all = recent.is_none().then_some(all).into_iter().flatten();
        let recent = recent.into_iter().flatten();
        let still_there =
            recent.filter_map(|(position, key)| self.held.get(key).filter(|held| held.position == *position));
        still_there.chain(all)
    }

    /// Tells items behind a place, as many as make a part; returns the last one where there are more.
    fn part(&self, behind: Option<&ItemKey>, mut tell: impl FnMut(&Held)) -> Option<ItemKey> {
        let behind = behind.map(|key| (key.kind, key.name.clone()));
        let from = behind.map_or(Bound::Unbounded, Bound::Excluded);
        let mut bytes = 0;
        let mut last: Option<&Key> = None;
        for (key, held) in self.held.range((from, Bound::Unbounded)) {
            if let Some((kind, name)) = last.filter(|_| bytes >= PART_BYTES) {
                return Some(ItemKey { kind: *kind, name: name.clone() });
            }
            bytes += key.1.len() + held.item.content.len();
            last = Some(key);
            tell(held);
        }
        None
    }
}

/// The store's revision up to which changes tell everything, of each kind whose items may go.
fn told_up_to(changes: &Changes) -> [(ItemKind, u64); 3] {
    [
        (ItemKind::Configuration, changes.configurations_to),
        (ItemKind::Engine, changes.engines_to),
        (ItemKind::Evacuation, changes.evacuations_to),
    ]
}

//! What one node has learned from the store, with a position for each change.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::message::{Changes, FollowRequest, Item, ItemChange, ItemKind, Snapshot};

/// Removals that are remembered; a follower that is further behind gets everything.
const REMEMBERED_REMOVALS: usize = 512;
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

type Key = (i32, String);

/// What a node has learned from the store.
#[derive(Debug, Clone)]
pub struct Feed {
    life: u64,
    at: u64,
    revision: u64,
    held: BTreeMap<Key, Held>,
    removed: VecDeque<(u64, Key)>,
    whole_since: u64,
    outage: Duration,
    listed_at: Timestamp,
    silent: BTreeSet<ItemKind>,
}

impl Feed {
    /// A feed that knows nothing yet. `life` tells it from the feeds of other nodes and of other lives of this one.
    pub fn new(life: u64) -> Self {
        Self {
            life: life.max(1),
            at: 0,
            revision: 0,
            held: BTreeMap::new(),
            removed: VecDeque::new(),
            whole_since: 0,
            outage: Duration::ZERO,
            listed_at: Timestamp::default(),
            silent: BTreeSet::from([ItemKind::Configuration, ItemKind::Engine]),
        }
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

    /// The highest revision of the store that was heard of.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Position of the last change.
    pub fn position(&self) -> u64 {
        self.at
    }

    /// Whether the store was heard of every kind since it last failed.
    pub fn is_current(&self) -> bool {
        self.silent.is_empty()
    }

    /// A call to the store about a kind failed; returns whether that is news.
    pub fn store_failed(&mut self, kind: ItemKind) -> bool {
        self.silent.insert(kind)
    }

    /// Takes in a list of all items of a kind; returns whether anything is new.
    pub fn list(&mut self, listed: Listed, now: Timestamp) -> bool {
        let was_silent = self.silent.remove(&listed.kind);
        self.revision = self.revision.max(listed.revision);
        let before = self.at;
        let names: BTreeSet<Key> = listed.items.iter().map(|item| (item.kind, item.name.clone())).collect();
        let gone: Vec<Key> = self
            .held
            .keys()
            .filter(|key| key.0 == listed.kind as i32 && !names.contains(*key))
            .cloned()
            .collect();
        if !gone.is_empty() && !listed.outage.is_zero() {
            // Followers must learn of the outage, so they get everything anew.
            self.whole_since = self.at + 1;
            self.outage = listed.outage;
            self.listed_at = now;
        }
        for (kind, name) in gone {
            self.remove_key((kind, name));
        }
        for item in listed.items {
            self.put(item);
        }
        was_silent || self.at != before
    }

    /// Takes in an item; returns whether it is new.
    pub fn put(&mut self, item: Item) -> bool {
        self.revision = self.revision.max(item.revision);
        let key = (item.kind, item.name.clone());
        if self.held.get(&key).is_some_and(|held| held.item.content == item.content) {
            return false;
        }
        self.at += 1;
        self.held.insert(key, Held { position: self.at, item });
        true
    }

    /// An item is gone since a revision of the store; returns whether it was there.
    pub fn remove(&mut self, kind: ItemKind, name: &str, revision: u64) -> bool {
        self.revision = self.revision.max(revision);
        self.remove_key((kind as i32, name.to_owned()))
    }

    fn remove_key(&mut self, key: Key) -> bool {
        if self.held.remove(&key).is_none() {
            return false;
        }
        self.at += 1;
        self.removed.push_back((self.at, key));
        if self.removed.len() > REMEMBERED_REMOVALS
            && let Some((position, _)) = self.removed.pop_front()
        {
            self.whole_since = self.whole_since.max(position);
        }
        true
    }

    /// Whether a follower would be told something that it does not know.
    pub fn has_news_for(&self, request: &FollowRequest) -> bool {
        request.life != self.life || request.after < self.at
    }

    /// What a follower does not know yet.
    pub fn changes(&self, request: &FollowRequest, now: Timestamp) -> Changes {
        let is_whole = request.life != self.life || request.after < self.whole_since;
        let after = if is_whole { 0 } else { request.after };
        let mut changes: Vec<ItemChange> = Vec::new();
        if !is_whole {
            let removed = self
                .removed
                .iter()
                .filter(|(position, key)| *position > after && !self.held.contains_key(key));
            changes.extend(removed.map(|(_, (kind, name))| {
                let item = Item { kind: *kind, name: name.clone(), ..Item::default() };
                ItemChange { item: Some(item), is_gone: true }
            }));
        }
        let newer = self.held.values().filter(|held| held.position > after);
        changes.extend(newer.map(|held| ItemChange { item: Some(held.item.clone()), is_gone: false }));
        let is_recent = now.since(self.listed_at) < OUTAGE_MATTERS_FOR;
        let outage = if is_whole && is_recent { self.outage } else { Duration::ZERO };
        Changes {
            life: self.life,
            at: self.at,
            is_whole,
            outage_millis: u64::try_from(outage.as_millis()).unwrap_or(u64::MAX),
            is_current: self.is_current(),
            changes,
        }
    }
}

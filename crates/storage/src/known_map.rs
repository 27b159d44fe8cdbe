//! The groups as a node knows them, and how they travel in feeds.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use prost::Message;
use sumacdrift_dissemination::{Item, ItemKind};
use sumacdrift_ledger::{GroupMap, GroupMapMessage};

/// Name of the only item of its kind.
pub(crate) const GROUPS_ITEM: &str = "groups";

/// The groups as an item of a feed, at a revision of the store.
pub(crate) fn groups_item(map: &GroupMap, revision: u64) -> Item {
    let content = Bytes::from(map.to_message().encode_to_vec());
    Item::new(ItemKind::Groups, GROUPS_ITEM, content, revision)
}

/// The groups that an item tells of; `None` where it can't be read.
pub(crate) fn groups_of(item: &Item) -> Option<GroupMap> {
    let message = GroupMapMessage::decode(item.content.clone()).ok()?;
    GroupMap::from_message(&message)
}

/// The newest groups that were heard of.
#[derive(Debug, Default)]
pub(crate) struct KnownMap(Mutex<Arc<GroupMap>>);

impl KnownMap {
    /// The groups.
    pub(crate) fn get(&self) -> Arc<GroupMap> {
        Arc::clone(&self.lock())
    }

    /// Takes in what is newer; returns whether anything was.
    pub(crate) fn merge(&self, other: &GroupMap) -> bool {
        let mut known = self.lock();
        Arc::make_mut(&mut known).merge(other)
    }

    /// Takes in one group if it is newer; returns whether it was.
    pub(crate) fn learn(&self, group: sumacdrift_ledger::Group) -> bool {
        let mut known = self.lock();
        Arc::make_mut(&mut known).learn(group)
    }

    fn lock(&self) -> MutexGuard<'_, Arc<GroupMap>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! What the directory holds, as it travels in feeds: only the nodes that follow the store ask it, however many machines
//! there are.

use bytes::Bytes;
use prost::Message;
use sumacdrift_dissemination::{Item, ItemKind};
use sumacdrift_ledger::{GroupMap, GroupMapMessage};

use crate::directory::{DirectoryView, Retirement, Revision, StoredMap};
use crate::feed_host::FeedHost;

/// Name of the only item of its kind.
const GROUPS_ITEM: &str = "groups";
/// Content of a retirement that is done, and of one that is not.
const COMPLETED: &[u8] = b"completed";
const ASKED: &[u8] = b"asked";

/// The groups as an item of a feed, at a revision of the store.
fn groups_item(map: &GroupMap, revision: Revision) -> Item {
    let content = Bytes::from(map.to_message().encode_to_vec());
    Item::new(ItemKind::Groups, GROUPS_ITEM, content, revision)
}

/// The groups that an item tells of; `None` where it can't be read.
pub(crate) fn groups_of(item: &Item) -> Option<GroupMap> {
    let message = GroupMapMessage::decode(item.content.clone()).ok()?;
    GroupMap::from_message(&message)
}

fn retirement_item(retirement: &Retirement) -> Item {
    let content = Bytes::from_static(if retirement.is_completed { COMPLETED } else { ASKED });
    Item::new(ItemKind::Retirement, &retirement.node, content, retirement.revision)
}

fn retirement_of(item: &Item) -> Retirement {
    let is_completed = item.content == COMPLETED;
    Retirement { node: item.name.clone(), is_completed, revision: item.revision }
}

impl FeedHost {
    /// Tells followers what the directory holds.
    pub(crate) fn tell_directory(&self, view: &DirectoryView) {
        if let Some(stored) = &view.map {
            self.put(groups_item(&stored.map, stored.revision));
        }
        view.retirements.iter().map(retirement_item).for_each(|item| self.put(item));
    }

    /// What the directory holds as far as the feed tells: everything but registrations, which matter only before there
    /// are groups.
    pub(crate) fn directory_view(&self) -> DirectoryView {
        let groups = self.item(ItemKind::Groups, GROUPS_ITEM);
        let map = groups.and_then(|item| Some(StoredMap { map: groups_of(&item)?, revision: item.revision }));
        let retirements = self.items(ItemKind::Retirement).iter().map(retirement_of).collect();
        DirectoryView { is_known: map.is_some(), map, retirements, ..DirectoryView::default() }
    }
}

//! Directory content as feed items, so that only the nodes that follow the store query it.

use bytes::Bytes;
use prost::Message;
use sumacdrift_dissemination::{Item, ItemKind};
use sumacdrift_ledger::{GroupMap, GroupMapMessage};

use crate::directory::{DirectoryView, Retirement, Revision, StoredMap};
use crate::feed_host::FeedHost;

/// Name of the only item of kind [`ItemKind::Groups`].
const GROUPS_ITEM: &str = "groups";
/// Content of a retirement item: drained, and requested.
const COMPLETED: &[u8] = b"completed";
const REQUESTED: &[u8] = b"asked";

fn groups_item(map: &GroupMap, revision: Revision) -> Item {
    let content = Bytes::from(map.to_message().encode_to_vec());
    Item::new(ItemKind::Groups, GROUPS_ITEM, content, revision)
}

/// Decodes a groups item; `None` if it is malformed.
pub(crate) fn decode_groups(item: &Item) -> Option<GroupMap> {
    let message = GroupMapMessage::decode(item.content.clone()).ok()?;
    GroupMap::from_message(&message)
}

fn retirement_item(retirement: &Retirement) -> Item {
    let content = Bytes::from_static(if retirement.is_completed { COMPLETED } else { REQUESTED });
    Item::new(ItemKind::Retirement, &retirement.node, content, retirement.revision)
}

fn retirement_of(item: &Item) -> Retirement {
    let is_completed = item.content == COMPLETED;
    Retirement { node: item.name.clone(), is_completed, revision: item.revision }
}

impl FeedHost {
    /// Publishes the content of the directory to followers.
    pub(crate) fn publish_directory(&self, view: &DirectoryView) {
        if let Some(stored) = &view.map {
            self.put(groups_item(&stored.map, stored.revision));
        }
        view.retirements.iter().map(retirement_item).for_each(|item| self.put(item));
    }

    /// Directory content according to the feed. Registrations are left out: they matter only before groups
    /// are bootstrapped.
    pub(crate) fn directory_view(&self) -> DirectoryView {
        let groups = self.item(ItemKind::Groups, GROUPS_ITEM);
        let map =
            groups.and_then(|item| Some(StoredMap { map: decode_groups(&item)?, revision: item.revision }));
        let retirements = self.items(ItemKind::Retirement).iter().map(retirement_of).collect();
        DirectoryView { is_known: map.is_some(), map, retirements, ..DirectoryView::default() }
    }
}

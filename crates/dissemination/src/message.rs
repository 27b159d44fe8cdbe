//! Protocol-buffer messages between feeds and followers, and the form in which a feed is persisted.

use bytes::Bytes;

/// Kind of an [`Item`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
#[allow(missing_docs)]
pub enum ItemKind {
    Configuration = 0,
    Engine = 1,
    /// The replication groups of the ledger.
    Groups = 2,
    /// A machine that is being drained for removal.
    Retirement = 3,
    /// A zone whose engines get no new calls.
    Evacuation = 4,
    /// A request that is sent to no engine. It doesn't come from the store: any node may add one. Its content begins with
    /// the time at which it expires, so that contents sort by it.
    Quarantine = 5,
}

/// An object of the external store, or one that nodes distribute by themselves. The content is opaque here.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Item {
    /// An [`ItemKind`]; unknown values come from newer builds.
    #[prost(enumeration = "ItemKind", tag = "1")]
    pub kind: i32,
    /// Unique within its kind.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Empty for a removed item.
    #[prost(bytes = "bytes", tag = "3")]
    pub content: Bytes,
    /// Store revision of the last change or of the removal.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
}

impl Item {
    /// Creates an item of a kind that this build knows.
    pub fn new(kind: ItemKind, name: &str, content: Bytes, revision: u64) -> Self {
        Self { kind: kind as i32, name: name.to_owned(), content, revision }
    }

    /// The kind; `None` if only a newer build knows it. [`Item::kind`] returns `Configuration` for such an
    /// item.
    pub fn known_kind(&self) -> Option<ItemKind> {
        ItemKind::try_from(self.kind).ok()
    }
}

/// Change or removal of an item.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemChange {
    /// The item; without content if it was removed.
    #[prost(message, optional, tag = "1")]
    pub item: Option<Item>,
    /// Whether the item was removed.
    #[prost(bool, tag = "2")]
    pub is_gone: bool,
    /// Milliseconds since the removal became known; `None` if the item was not removed.
    #[prost(uint64, optional, tag = "3")]
    pub removed_millis_ago: Option<u64>,
}

/// Request of a follower for changes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FollowRequest {
    /// Incarnation of the feed that `after` belongs to; 0 if the follower has no state.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Position up to which the follower has all changes.
    #[prost(uint64, tag = "2")]
    pub after: u64,
    /// Maximum time in milliseconds that the response may wait for a change.
    #[prost(uint64, tag = "3")]
    pub wait_millis: u64,
    /// Whether a full response may be split into parts, each with a request of its own.
    #[prost(bool, tag = "4")]
    pub takes_parts: bool,
    /// Last item of the previous part; the next one starts after it.
    #[prost(message, optional, tag = "5")]
    pub part_behind: Option<ItemKey>,
    /// Whether the follower is an edge, whose attempts at engines are lost if its process is.
    #[prost(bool, tag = "6")]
    pub is_edge: bool,
}

/// Key by which items are ordered.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemKey {
    /// See [`ItemKind`].
    #[prost(int32, tag = "1")]
    pub kind: i32,
    /// Unique within its kind.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// Response of a feed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Changes {
    /// Incarnation of the feed.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Position that the follower reaches by applying this response.
    #[prost(uint64, tag = "2")]
    pub at: u64,
    /// Whether the response is full: items that are not in it were removed.
    #[prost(bool, tag = "3")]
    pub is_full: bool,
    /// Duration in milliseconds of a store outage that ended just before the feed listed the store; 0
    /// otherwise. Engines may be missing only because they could not report during it.
    #[prost(uint64, tag = "4")]
    pub outage_millis: u64,
    /// Whether the feed is up to date: its node reaches the store, or merges the feed of a node that does.
    #[prost(bool, tag = "5")]
    pub is_current: bool,
    /// Changes since the requested position, or all items of a full response.
    #[prost(message, repeated, tag = "6")]
    pub changes: Vec<ItemChange>,
    /// Whether the feed's own node reaches the store.
    #[prost(bool, tag = "7")]
    pub hears_store: bool,
    /// Store revision up to which all changes of the configuration are known.
    #[prost(uint64, tag = "8")]
    pub configurations_to: u64,
    /// Store revision up to which all changes of engines are known.
    #[prost(uint64, tag = "9")]
    pub engines_to: u64,
    /// Time in milliseconds since the configuration was last known to be the store's newest, as of this
    /// response; `None` if it never was.
    #[prost(uint64, optional, tag = "10")]
    pub configuration_age_millis: Option<u64>,
    /// Time in milliseconds that the request waited for this response. The age refers to the time of the
    /// request plus this.
    #[prost(uint64, tag = "11")]
    pub held_millis: u64,
    /// Store revision up to which all changes of evacuations are known; 0 if the feed has never listed them.
    #[prost(uint64, tag = "12")]
    pub evacuations_to: u64,
    /// Last item of this part of a full response, if more parts follow.
    #[prost(message, optional, tag = "13")]
    pub last_item_of_part: Option<ItemKey>,
}

/// All items of a feed, persisted for the next start of its process.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Snapshot {
    /// Items of all kinds.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
    /// Ends of evacuations, with their age at `saved_unix_millis`.
    #[prost(message, repeated, tag = "2")]
    pub ended_evacuations: Vec<ItemChange>,
    /// Unix time in milliseconds at which the snapshot was taken.
    #[prost(uint64, tag = "3")]
    pub saved_unix_millis: u64,
}

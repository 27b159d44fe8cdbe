//! What feeds and followers tell each other, and the form in which a feed outlasts its process. All are protocol
//! buffers.

use bytes::Bytes;

/// What an item is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ItemKind {
    /// The configuration.
    Configuration = 0,
    /// An engine.
    Engine = 1,
    /// The groups of the ledger.
    Groups = 2,
    /// A machine that is to be emptied.
    Retirement = 3,
    /// A zone whose engines are to get nothing new.
    Evacuation = 4,
}

/// An object of the outside store. Its content means nothing here.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Item {
    /// What it is.
    #[prost(enumeration = "ItemKind", tag = "1")]
    pub kind: i32,
    /// Name within its kind.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Content.
    #[prost(bytes = "bytes", tag = "3")]
    pub content: Bytes,
    /// The store's revision at its last change, or at its removal.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
}

impl Item {
    /// An item.
    pub fn new(kind: ItemKind, name: &str, content: Bytes, revision: u64) -> Self {
        Self { kind: kind as i32, name: name.to_owned(), content, revision }
    }

    /// What it is; `None` where only a newer build knows. [`Item::kind`] takes such an item for a configuration.
    pub fn known_kind(&self) -> Option<ItemKind> {
        ItemKind::try_from(self.kind).ok()
    }
}

/// A change of an item.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemChange {
    /// The item; without content where it is gone.
    #[prost(message, optional, tag = "1")]
    pub item: Option<Item>,
    /// Whether it is gone.
    #[prost(bool, tag = "2")]
    pub is_gone: bool,
}

/// A follower asks for changes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FollowRequest {
    /// Life of the feed that `after` belongs to; 0 where the follower has nothing.
    #[prost(uint64, tag = "1")]
    pub life: u64,
    /// Position up to which the follower knows everything.
    #[prost(uint64, tag = "2")]
    pub after: u64,
    /// How long the answer may wait for a change, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub wait_millis: u64,
    /// Whether everything there is may be told in parts, each by a question of its own.
    #[prost(bool, tag = "4")]
    pub takes_parts: bool,
    /// The item behind which the next part begins.
    #[prost(message, optional, tag = "5")]
    pub part_behind: Option<ItemKey>,
}

/// An item's place among all items.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemKey {
    /// What it is, see [`ItemKind`].
    #[prost(int32, tag = "1")]
    pub kind: i32,
    /// Name within its kind.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// The answer of a feed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Changes {
    /// Life of the feed.
    #[prost(uint64, tag = "1")]
    pub life: u64,
    /// Position up to which the follower knows everything now.
    #[prost(uint64, tag = "2")]
    pub at: u64,
    /// Whether the changes are everything there is: what is not among them is gone.
    #[prost(bool, tag = "3")]
    pub is_whole: bool,
    /// How long the store was out of reach before the feed listed it, in milliseconds, where that was only just now:
    /// engines may be missing only because they could not report meanwhile.
    #[prost(uint64, tag = "4")]
    pub outage_millis: u64,
    /// Whether the feed is up to date: its node hears from the store, or takes in the feed of one that does.
    #[prost(bool, tag = "5")]
    pub is_current: bool,
    /// The changes.
    #[prost(message, repeated, tag = "6")]
    pub changes: Vec<ItemChange>,
    /// Whether the feed's own node hears from the store.
    #[prost(bool, tag = "7")]
    pub hears_store: bool,
    /// The store's revision up to which all changes of the configuration are among what was told.
    #[prost(uint64, tag = "8")]
    pub configurations_to: u64,
    /// The same of the engines.
    #[prost(uint64, tag = "9")]
    pub engines_to: u64,
    /// How long ago, in milliseconds, the configuration held was known to be the store's newest, when this was told;
    /// nothing where it never was.
    #[prost(uint64, optional, tag = "10")]
    pub configuration_age_millis: Option<u64>,
    /// How long the question waited for this answer, in milliseconds: the age is of the time at which it was asked and
    /// so much later.
    #[prost(uint64, tag = "11")]
    pub held_millis: u64,
    /// The store's revision up to which all evacuations are among what was told; 0 where the feed never heard of them.
    #[prost(uint64, tag = "12")]
    pub evacuations_to: u64,
    /// The last item of a part of everything there is, where there are more behind it.
    #[prost(message, optional, tag = "13")]
    pub more_behind: Option<ItemKey>,
}

/// Everything a feed holds, for its next life.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Snapshot {
    /// The items.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
}

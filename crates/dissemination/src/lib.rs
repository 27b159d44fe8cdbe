//! Distribution of the configuration, the engines and other objects of an external store to all nodes.
//!
//! A store supports only a few readers, and each request costs. So only the members of the ledger's group
//! follow it. Each of them keeps a [`Feed`], and every other node follows one of these feeds: it requests the
//! changes after a position, and the response waits until there are some or a timeout ends. [`SourceChoice`]
//! selects the feed to ask, and decides when a follower must use the store itself.
//!
//! The crate does no I/O and reads no clock; callers pass the time in.

mod feed;
mod message;
mod recent_changes;
mod source_choice;

pub use feed::{Feed, ItemList};
pub use message::{Changes, FollowRequest, Item, ItemChange, ItemKey, ItemKind, Snapshot};
pub use source_choice::{FeedOutcome, NextSource, SourceChoice};

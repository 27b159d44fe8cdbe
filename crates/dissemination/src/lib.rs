//! Passing on what a few nodes learn from an outside store: the configuration and the engines.
//!
//! A store bears only a few readers and each call to it costs. So only the members of the ledger's group follow it;
//! each of them keeps a [`Feed`], and every other node follows one of these feeds. A follower asks its feed for changes
//! behind a position and is answered when there are some, or after a while without. [`SourceChoice`] says which feed to
//! ask, and when the follower must go to the store itself.
//!
//! Nothing here reads a clock or a socket.

mod feed;
mod message;
mod recent;
mod source_choice;

pub use feed::{Feed, Listed};
pub use message::{Changes, FollowRequest, Item, ItemChange, ItemKey, ItemKind, Snapshot};
pub use source_choice::{Heard, NextSource, SourceChoice};

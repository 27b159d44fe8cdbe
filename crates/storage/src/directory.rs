//! The port to the place where groups are agreed on: a store with compare-and-set, which may be down for long.

use std::future::Future;
use std::pin::Pin;

use sumacdrift_ledger::{Capacity, GroupMap, Member};
use tokio::sync::watch;

/// Version of a stored object; only equality matters.
pub type Revision = u64;

/// A future of the port.
pub type DirectoryFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, DirectoryError>> + Send + 'a>>;

/// The directory did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// Somebody else changed the object first; nothing was done.
    #[error("the object was changed meanwhile")]
    Conflict,
    /// No answer; the change may have been made or may still be made.
    #[error("no answer: {0}")]
    Unavailable(String),
}

/// All groups with the version that a change must name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredMap {
    /// The groups.
    pub map: GroupMap,
    /// Version of the object.
    pub revision: Revision,
}

/// A replica that exists, whether or not it belongs to a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Who it is.
    pub member: Member,
    /// What it can carry.
    pub capacity: Capacity,
    /// Whether it may found a group.
    pub may_found: bool,
}

/// A request that a machine be emptied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retirement {
    /// The node.
    pub node: String,
    /// Whether the system has said that it is done.
    pub is_completed: bool,
    /// Version of the request.
    pub revision: Revision,
}

/// What the directory is known to hold.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DirectoryView {
    /// Whether the directory was read at all in this life.
    pub is_known: bool,
    /// The groups.
    pub map: Option<StoredMap>,
    /// Replicas that exist.
    pub registered: Vec<Registration>,
    /// Machines to be emptied.
    pub retirements: Vec<Retirement>,
}

/// Where groups are agreed on.
pub trait GroupDirectory: Send + Sync + 'static {
    /// What is known, kept up to date.
    fn view(&self) -> watch::Receiver<DirectoryView>;
    /// Makes a replica known.
    fn register(&self, registration: Registration) -> DirectoryFuture<'_, ()>;
    /// Replaces the groups if their version is still the one given; `None` where there must be none yet.
    fn replace_map(&self, map: GroupMap, expected: Option<Revision>) -> DirectoryFuture<'_, ()>;
    /// Says how far a machine is emptied.
    fn report_retirement(&self, node: String, is_completed: bool) -> DirectoryFuture<'_, ()>;
}

//! Port to the store that holds group membership: compare-and-set, and possibly unavailable for long.

use std::future::Future;
use std::pin::Pin;

use sumacdrift_ledger::{Capacity, GroupMap, Member};
use tokio::sync::watch;

/// Version of a stored object; only equality is meaningful.
pub type Revision = u64;

/// Future returned by a [`GroupDirectory`] call.
pub type DirectoryFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, DirectoryError>> + Send + 'a>>;

/// Error of a directory operation.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// The object was changed concurrently; nothing was written.
    #[error("the object was changed meanwhile")]
    Conflict,
    /// No response; the change may have been applied, or may still be.
    #[error("no answer: {0}")]
    Unavailable(String),
}

/// All groups, with the revision that a change must name.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct StoredMap {
    pub map: GroupMap,
    pub revision: Revision,
}

/// A registered replica, whether or not it belongs to a group.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct Registration {
    pub member: Member,
    pub capacity: Capacity,
    pub may_bootstrap: bool,
}

/// A request to drain a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Retirement {
    pub node: String,
    /// Whether the machine was reported as drained.
    pub is_completed: bool,
    pub revision: Revision,
}

/// Last known content of the directory.
#[derive(Debug, Clone, Default, PartialEq)]
#[allow(missing_docs)]
pub struct DirectoryView {
    /// Whether the directory was read since the process started.
    pub is_known: bool,
    pub map: Option<StoredMap>,
    /// Registered replicas.
    pub registered: Vec<Registration>,
    /// Machines to drain, and drained ones.
    pub retirements: Vec<Retirement>,
}

/// Store of group membership.
pub trait GroupDirectory: Send + Sync + 'static {
    /// Subscribes to the content of the directory.
    fn view(&self) -> watch::Receiver<DirectoryView>;
    /// Registers a replica.
    fn register(&self, registration: Registration) -> DirectoryFuture<'_, ()>;
    /// Replaces the groups if their revision still is `expected`; `None` requires that there are none yet.
    fn replace_map(&self, map: GroupMap, expected: Option<Revision>) -> DirectoryFuture<'_, ()>;
    /// Reports whether the drain of a machine is complete.
    fn report_retirement(&self, node: String, is_completed: bool) -> DirectoryFuture<'_, ()>;
}

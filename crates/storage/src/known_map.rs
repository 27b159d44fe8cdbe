//! Newest group map known to a node.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sumacdrift_ledger::{Group, GroupMap};

#[derive(Debug, Default)]
pub(crate) struct KnownMap(Mutex<Arc<GroupMap>>);

impl KnownMap {
    pub(crate) fn get(&self) -> Arc<GroupMap> {
        Arc::clone(&self.lock())
    }

    /// Merges groups that are newer; returns whether any was.
    pub(crate) fn merge(&self, other: &GroupMap) -> bool {
        let mut known = self.lock();
        Arc::make_mut(&mut known).merge(other)
    }

    /// Adopts one group if it is newer; returns whether it was.
    pub(crate) fn adopt_newer(&self, group: Group) -> bool {
        let mut known = self.lock();
        Arc::make_mut(&mut known).adopt_newer(group)
    }

    fn lock(&self) -> MutexGuard<'_, Arc<GroupMap>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

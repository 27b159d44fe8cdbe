//! The groups as a node knows them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sumacdrift_ledger::{Group, GroupMap};

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
    pub(crate) fn learn(&self, group: Group) -> bool {
        let mut known = self.lock();
        Arc::make_mut(&mut known).learn(group)
    }

    fn lock(&self) -> MutexGuard<'_, Arc<GroupMap>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

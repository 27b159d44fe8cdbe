//! Names that thousands of engines share, kept once.

use std::collections::HashSet;
use std::sync::Arc;

/// Names of services and zones.
#[derive(Debug, Default)]
pub(crate) struct SharedNames(HashSet<Arc<str>>);

impl SharedNames {
    /// Replaces a name by the equal one that is kept, or keeps it.
    pub(crate) fn share(&mut self, name: &mut Arc<str>) {
        match self.0.get(name) {
            Some(kept) => *name = Arc::clone(kept),
            None => {
                self.0.insert(Arc::clone(name));
            }
        }
    }

    /// Lets go of names that nobody else holds.
    pub(crate) fn forget_unused(&mut self) {
        self.0.retain(|name| Arc::strong_count(name) > 1);
    }
}

//! Interning of names shared by thousands of engines.

use std::collections::HashSet;
use std::sync::Arc;

/// Names of services and zones.
#[derive(Debug, Default)]
pub(crate) struct NameInterner(HashSet<Arc<str>>);

impl NameInterner {
    /// Replaces a name by the stored equal one, or stores it.
    pub(crate) fn intern(&mut self, name: &mut Arc<str>) {
        match self.0.get(name) {
            Some(stored) => *name = Arc::clone(stored),
            None => {
                self.0.insert(Arc::clone(name));
            }
        }
    }

    /// Evicts names that are referenced nowhere else.
    pub(crate) fn remove_unused(&mut self) {
        self.0.retain(|name| Arc::strong_count(name) > 1);
    }
}

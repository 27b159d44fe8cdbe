//! The configuration in force: the highest generation offered so far.

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Generation;

/// A value with a monotonically increasing generation.
#[allow(missing_docs)]
pub trait Versioned {
    fn generation(&self) -> Generation;
}

impl Versioned for crate::Bundle {
    fn generation(&self) -> Generation {
        self.generation
    }
}

/// Holds the configuration in force.
///
/// Only a higher generation replaces the current one, so that a delayed peer or a stale read can't revert an accepted
/// configuration.
#[derive(Debug, Clone)]
pub struct CurrentConfiguration<T> {
    current: Option<T>,
}

impl<T> Default for CurrentConfiguration<T> {
    fn default() -> Self {
        Self { current: None }
    }
}

impl<T: Versioned> CurrentConfiguration<T> {
    /// The configuration in force; `None` until one was offered.
    pub fn current(&self) -> Option<&T> {
        self.current.as_ref()
    }

    /// The generation in force; 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.current().map_or(Generation(0), Versioned::generation)
    }

    /// Replaces the current configuration if the offered one is newer. Returns whether it was.
    pub fn replace_if_newer(&mut self, offered: T) -> bool {
        if offered.generation() <= self.generation() && !is_broken(Rule::GenerationsAreMonotonic) {
            return false;
        }
        self.current = Some(offered);
        true
    }
}

impl<T: Versioned> Versioned for std::sync::Arc<T> {
    fn generation(&self) -> Generation {
        self.as_ref().generation()
    }
}

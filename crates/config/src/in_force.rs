//! What is in force: the highest generation that was ever offered.

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::Generation;

/// Something with a generation.
pub trait Versioned {
    /// The generation.
    fn generation(&self) -> Generation;
}

impl Versioned for crate::Bundle {
    fn generation(&self) -> Generation {
        self.generation
    }
}

/// Holds the configuration in force.
///
/// A lower or equal generation is never put in force, whoever offers it: that keeps an accepted configuration
/// from being reverted by a slow reader or a node that slept.
#[derive(Debug, Clone)]
pub struct InForce<T> {
    current: Option<T>,
}

impl<T> Default for InForce<T> {
    fn default() -> Self {
        Self { current: None }
    }
}

impl<T: Versioned> InForce<T> {
    /// What is in force.
    pub fn current(&self) -> Option<&T> {
        self.current.as_ref()
    }

    /// The generation in force; 0 where there is none.
    pub fn generation(&self) -> Generation {
        self.current().map_or(Generation(0), Versioned::generation)
    }

    /// Puts an offer in force if it is newer. Returns whether it was.
    pub fn offer(&mut self, offered: T) -> bool {
        if offered.generation() <= self.generation() && !is_broken(Rule::GenerationsOnlyRise) {
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

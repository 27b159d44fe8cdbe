//! The platform's object API as a model: versions, compare-and-set, watches that expire, a cap on readers.

use std::collections::BTreeMap;

/// Versions of one object that a watch may still begin from.
const WATCH_WINDOW: u64 = 100;

/// An object with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Version, rising with each write of any object.
    pub version: u64,
    /// Content.
    pub value: String,
}

/// Faults that the object API shows.
#[derive(Debug, Clone, Default)]
pub struct ObjectFaults {
    /// Whether it is down.
    pub is_down: bool,
    /// Writes whose answer is lost after they took effect.
    pub lose_answers: usize,
    /// Milliseconds added to each answer.
    pub delay_millis: u64,
}

/// A request was refused by the object API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// There is no such object.
    #[error("no such object")]
    NotFound,
    /// The object has another version than the writer expected.
    #[error("the object's version is {0}")]
    Conflict(u64),
    /// The watch began from a version that is no longer kept.
    #[error("the watch expired")]
    Expired,
}

/// Objects by name.
#[derive(Debug, Clone, Default)]
pub struct ObjectStore {
    objects: BTreeMap<String, StoredObject>,
    version: u64,
}

impl ObjectStore {
    /// Reads an object.
    pub fn get(&self, name: &str) -> Result<&StoredObject, StoreError> {
        self.objects.get(name).ok_or(StoreError::NotFound)
    }

    /// Writes an object whose version is still `expected`; 0 stands for an object that does not exist yet.
    pub fn put(&mut self, name: &str, expected: u64, value: String) -> Result<u64, StoreError> {
        let present = self.objects.get(name).map_or(0, |object| object.version);
        if present != expected {
            return Err(StoreError::Conflict(present));
        }
        self.version += 1;
        let version = self.version;
        self.objects.insert(name.to_owned(), StoredObject { version, value });
        Ok(version)
    }

    /// The object, if it changed after `version`.
    pub fn changed_since(&self, name: &str, version: u64) -> Result<Option<&StoredObject>, StoreError> {
        if version > 0 && version + WATCH_WINDOW < self.version {
            return Err(StoreError::Expired);
        }
        Ok(self.objects.get(name).filter(|object| object.version > version))
    }
}

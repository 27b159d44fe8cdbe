//! Model of the platform's object API: versions, compare-and-set and watches that expire.

use std::collections::BTreeMap;

/// A watch expires if it starts more than this many versions behind the current one.
const WATCH_WINDOW: u64 = 100;

#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Store-wide version of the object's last write.
    pub version: u64,
    pub value: String,
}

/// Faults that the object API injects.
#[derive(Debug, Clone, Default)]
pub struct ObjectFaults {
    /// Whether every request is answered with 503.
    pub is_down: bool,
    /// Number of successful writes whose answers will be lost.
    pub lost_answers: usize,
    /// Delay of each request.
    pub delay_millis: u64,
}

/// Error of the object API.
#[allow(missing_docs)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    #[error("no such object")]
    NotFound,
    /// The object's version differs from the expected one; holds the current version, 0 if there is no object.
    #[error("the object's version is {0}")]
    Conflict(u64),
    /// The watch started from a version that is too old.
    #[error("the watch expired")]
    Expired,
}

/// Objects by name, with one version counter.
#[derive(Debug, Clone, Default)]
pub struct ObjectStore {
    objects: BTreeMap<String, StoredObject>,
    version: u64,
}

impl ObjectStore {
    /// Returns an object, or [`StoreError::NotFound`].
    pub fn get(&self, name: &str) -> Result<&StoredObject, StoreError> {
        self.objects.get(name).ok_or(StoreError::NotFound)
    }

    /// Writes an object if its version is `expected`, where 0 means that it must not exist; returns the new version.
    pub fn put(&mut self, name: &str, expected: u64, value: String) -> Result<u64, StoreError> {
        let current = self.objects.get(name).map_or(0, |object| object.version);
        if current != expected {
            return Err(StoreError::Conflict(current));
        }
        self.version += 1;
        let version = self.version;
        self.objects.insert(name.to_owned(), StoredObject { version, value });
        Ok(version)
    }

    /// Returns the object if it has changed since `version`; `None` if not, or if there is no such object.
    pub fn changed_since(&self, name: &str, version: u64) -> Result<Option<&StoredObject>, StoreError> {
        if version > 0 && version + WATCH_WINDOW < self.version {
            return Err(StoreError::Expired);
        }
        Ok(self.objects.get(name).filter(|object| object.version > version))
    }
}

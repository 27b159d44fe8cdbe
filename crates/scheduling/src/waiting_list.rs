//! Bounded set of waiting calls. It keeps no order: a call's position changes while it waits, so the first is searched for.

use std::collections::BTreeMap;

use sumacdrift_types::Timestamp;

/// A waiting call.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct WaitingCall<Call> {
    pub call: Call,
    pub enqueued_at: Timestamp,
}

/// The list is at capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("waiting list is full ({capacity} calls)")]
#[allow(missing_docs)]
pub struct WaitingListFull {
    pub capacity: usize,
}

/// Waiting calls by id.
#[derive(Debug)]
pub struct WaitingList<Id, Call> {
    calls: BTreeMap<Id, WaitingCall<Call>>,
    capacity: usize,
}

impl<Id: Ord + Copy, Call> WaitingList<Id, Call> {
    /// Creates an empty list for at most `capacity` calls.
    pub fn new(capacity: usize) -> Self {
        Self { calls: BTreeMap::new(), capacity }
    }

    /// Changes the capacity; calls beyond a lower one stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a further call would be rejected.
    pub fn is_full(&self) -> bool {
        self.calls.len() >= self.capacity
    }

    /// Adds a call that waits from `now`; rejects it if the list is full.
    pub fn push(&mut self, id: Id, call: Call, now: Timestamp) -> Result<(), WaitingListFull> {
        if self.is_full() {
            return Err(WaitingListFull { capacity: self.capacity });
        }
        self.calls.insert(id, WaitingCall { call, enqueued_at: now });
        Ok(())
    }

    /// Looks up a waiting call.
    pub fn get(&self, id: Id) -> Option<&WaitingCall<Call>> {
        self.calls.get(&id)
    }

    /// Removes a call; `None` if it doesn't wait.
    pub fn remove(&mut self, id: Id) -> Option<WaitingCall<Call>> {
        self.calls.remove(&id)
    }

    /// Finds the call with the smallest key.
    pub fn first_by_key<Key: Ord>(
        &self,
        key: impl Fn(&WaitingCall<Call>) -> Key,
    ) -> Option<(Id, &WaitingCall<Call>)> {
        self.calls.iter().min_by_key(|(_, waiting)| key(waiting)).map(|(id, waiting)| (*id, waiting))
    }

    /// Ids of the calls that match a predicate.
    pub fn matching_ids(&self, matches: impl Fn(&WaitingCall<Call>) -> bool) -> Vec<Id> {
        self.calls.iter().filter(|(_, waiting)| matches(waiting)).map(|(id, _)| *id).collect()
    }

    /// Iterates over the waiting calls in order of id.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &WaitingCall<Call>)> {
        self.calls.iter().map(|(id, waiting)| (*id, waiting))
    }

    /// Removes all calls and returns their ids.
    pub fn drain_ids(&mut self) -> Vec<Id> {
        std::mem::take(&mut self.calls).into_keys().collect()
    }
}

//! Calls that wait, bounded in number. Their order is worked out when one is taken, as it changes while they wait.

use std::collections::BTreeMap;

use sumacdrift_types::Timestamp;

/// A call that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting<Call> {
    /// What is known of the call.
    pub call: Call,
    /// Since when it waits.
    pub since: Timestamp,
}

/// No further call may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{most} calls wait already")]
pub struct ListFull {
    /// Calls that may wait.
    pub most: usize,
}

/// Calls that wait, by their ids.
#[derive(Debug)]
pub struct WaitingList<Id, Call> {
    calls: BTreeMap<Id, Waiting<Call>>,
    most: usize,
}

impl<Id: Ord + Copy, Call> WaitingList<Id, Call> {
    /// An empty list in which so many calls may wait.
    pub fn new(most: usize) -> Self {
        Self { calls: BTreeMap::new(), most }
    }

    /// From now on so many calls may wait; those that wait already stay.
    pub fn set_most(&mut self, most: usize) {
        self.most = most;
    }

    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether no further call may wait.
    pub fn is_full(&self) -> bool {
        self.calls.len() >= self.most
    }

    /// Adds a call.
    pub fn push(&mut self, id: Id, call: Call, now: Timestamp) -> Result<(), ListFull> {
        if self.is_full() {
            return Err(ListFull { most: self.most });
        }
        self.calls.insert(id, Waiting { call, since: now });
        Ok(())
    }

    /// A call that waits.
    pub fn get(&self, id: Id) -> Option<&Waiting<Call>> {
        self.calls.get(&id)
    }

    /// Takes a call out.
    pub fn remove(&mut self, id: Id) -> Option<Waiting<Call>> {
        self.calls.remove(&id)
    }

    /// The first call by an order, with its id.
    pub fn first_by<Key: Ord>(&self, key: impl Fn(&Waiting<Call>) -> Key) -> Option<(Id, &Waiting<Call>)> {
        self.calls.iter().min_by_key(|(_, waiting)| key(waiting)).map(|(id, waiting)| (*id, waiting))
    }

    /// Calls of which something holds.
    pub fn ids_where(&self, holds: impl Fn(&Waiting<Call>) -> bool) -> Vec<Id> {
        self.calls.iter().filter(|(_, waiting)| holds(waiting)).map(|(id, _)| *id).collect()
    }

    /// All calls that wait.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Waiting<Call>)> {
        self.calls.iter().map(|(id, waiting)| (*id, waiting))
    }

    /// Takes all calls out.
    pub fn take_all(&mut self) -> Vec<Id> {
        std::mem::take(&mut self.calls).into_keys().collect()
    }
}

//! All groups of the ledger, and which of them a program belongs to.

use std::sync::Arc;

use sumacdrift_types::stable_hash;

use crate::group::{Group, GroupNumber, Member};
use crate::message::GroupMapMessage;

/// All groups. Their number never changes; each group changes by itself, and of two versions of a group the one of the
/// higher epoch counts. A node is a member of one group at the most.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GroupMap {
    groups: Vec<Arc<Group>>,
}

impl GroupMap {
    /// These groups, by number.
    pub fn new(groups: Vec<Group>) -> Self {
        Self { groups: groups.into_iter().map(Arc::new).collect() }
    }

    /// Whether no group is known.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// The groups, by number.
    pub fn groups(&self) -> &[Arc<Group>] {
        &self.groups
    }

    /// A group.
    pub fn group(&self, number: GroupNumber) -> Option<&Arc<Group>> {
        self.groups.get(usize::try_from(number).unwrap_or(usize::MAX))
    }

    /// The group of a program: it follows from the program's name alone. `None` where no group is known.
    pub fn group_of(&self, program: &str) -> Option<&Arc<Group>> {
        let count = self.groups.len() as u64;
        let number = stable_hash(&[program.as_bytes()]).checked_rem(count)?;
        self.groups.get(usize::try_from(number).unwrap_or(usize::MAX))
    }

    /// The group that a node is a member of.
    pub fn seat_of(&self, node: &str) -> Option<&Arc<Group>> {
        self.groups.iter().find(|group| group.member(node).is_some())
    }

    /// Members of all groups.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.groups.iter().flat_map(|group| &group.members)
    }

    /// The map with a group in the place of that of the same number.
    pub fn with(&self, group: Group) -> Self {
        let mut next = self.clone();
        let place = usize::try_from(group.number).unwrap_or(usize::MAX);
        if let Some(known) = next.groups.get_mut(place) {
            *known = Arc::new(group);
        }
        next
    }

    /// Adopts a newer version of a group; the first group of a map that is empty becomes its only one. Returns whether
    /// it was news.
    pub fn learn(&mut self, group: impl Into<Arc<Group>>) -> bool {
        let group = group.into();
        if self.groups.is_empty() && group.number == 0 && group.epoch > 0 {
            self.groups.push(group);
            return true;
        }
        let place = usize::try_from(group.number).unwrap_or(usize::MAX);
        match self.groups.get_mut(place) {
            Some(known) if group.epoch > known.epoch => {
                *known = group;
                true
            }
            _ => false,
        }
    }

    /// Adopts whatever is newer in another map; returns whether anything was.
    pub fn merge(&mut self, other: &GroupMap) -> bool {
        if self.groups.len() < other.groups.len() {
            self.groups.clone_from(&other.groups);
            return true;
        }
        let newer = other.groups.iter().filter(|group| self.learn(Arc::clone(group)));
        newer.count() > 0
    }

    /// The map as a message.
    pub fn to_message(&self) -> GroupMapMessage {
        GroupMapMessage { groups: self.groups.iter().map(|group| group.to_message()).collect() }
    }

    /// The map of a message; `None` where it can't be read.
    pub fn from_message(message: &GroupMapMessage) -> Option<Self> {
        let groups = message.groups.iter().map(Group::from_message).collect::<Option<Vec<_>>>()?;
        let is_in_order = groups.iter().zip(0..).all(|(group, number)| group.number == number);
        is_in_order.then(|| Self::new(groups))
    }
}

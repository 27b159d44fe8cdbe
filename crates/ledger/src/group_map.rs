//! All groups of the ledger, and the assignment of programs to them.

use std::sync::Arc;

use sumacdrift_types::stable_hash;

use crate::group::{Group, GroupNumber, Member};
use crate::message::GroupMapMessage;

/// All groups of the ledger. Their count never changes. Groups change independently, and of two versions of a group the
/// one with the higher epoch applies. A node is a member of at most one group.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GroupMap {
    groups: Vec<Arc<Group>>,
}

impl GroupMap {
    /// Creates a map of groups, which must be ordered by number.
    pub fn new(groups: Vec<Group>) -> Self {
        Self { groups: groups.into_iter().map(Arc::new).collect() }
    }

    /// Whether the map has no groups.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Groups, ordered by number.
    pub fn groups(&self) -> &[Arc<Group>] {
        &self.groups
    }

    /// Group of a number.
    pub fn group(&self, number: GroupNumber) -> Option<&Arc<Group>> {
        self.groups.get(usize::try_from(number).unwrap_or(usize::MAX))
    }

    /// Group of a program, determined by a hash of its name. `None` if the map is empty.
    pub fn group_of(&self, program: &str) -> Option<&Arc<Group>> {
        let count = self.groups.len() as u64;
        let number = stable_hash(&[program.as_bytes()]).checked_rem(count)?;
        self.groups.get(usize::try_from(number).unwrap_or(usize::MAX))
    }

    /// `None` if the node is a member of no group.
    pub fn group_of_member(&self, node: &str) -> Option<&Arc<Group>> {
        self.groups.iter().find(|group| group.member(node).is_some())
    }

    /// Iterates over the members of all groups.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.groups.iter().flat_map(|group| &group.members)
    }

    /// Copy of the map in which a group replaces that of the same number.
    pub fn with_group(&self, group: Group) -> Self {
        let mut next = self.clone();
        let index = usize::try_from(group.number).unwrap_or(usize::MAX);
        if let Some(current) = next.groups.get_mut(index) {
            *current = Arc::new(group);
        }
        next
    }

    /// Adopts a group if it supersedes the current version. An empty map accepts only group 0. Returns whether the
    /// map changed.
    pub fn adopt_newer(&mut self, group: impl Into<Arc<Group>>) -> bool {
        let group = group.into();
        if self.groups.is_empty() && group.number == 0 && group.epoch > 0 {
            self.groups.push(group);
            return true;
        }
        let index = usize::try_from(group.number).unwrap_or(usize::MAX);
        match self.groups.get_mut(index) {
            Some(current) if group.supersedes(current) => {
                *current = group;
                true
            }
            _ => false,
        }
    }

    /// Adopts the newer groups of another map; returns whether the map changed.
    pub fn merge(&mut self, other: &GroupMap) -> bool {
        if self.groups.len() < other.groups.len() {
            self.groups.clone_from(&other.groups);
            return true;
        }
        let newer = other.groups.iter().filter(|group| self.adopt_newer(Arc::clone(group)));
        newer.count() > 0
    }

    /// Converts the map to its wire form.
    pub fn to_message(&self) -> GroupMapMessage {
        GroupMapMessage { groups: self.groups.iter().map(|group| group.to_message()).collect() }
    }

    /// Converts a map from its wire form; `None` if a group is invalid or out of order.
    pub fn from_message(message: &GroupMapMessage) -> Option<Self> {
        let groups = message.groups.iter().map(Group::from_message).collect::<Option<Vec<_>>>()?;
        let is_in_order = groups.iter().zip(0..).all(|(group, number)| group.number == number);
        is_in_order.then(|| Self::new(groups))
    }
}

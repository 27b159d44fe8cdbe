//! Table of all known members.

use std::collections::BTreeMap;

use sumacdrift_types::{Incarnation, NodeId, stable_hash};

use crate::{Member, MemberState, RoleSet};

/// Known members by node, including dead ones that are not yet forgotten.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    members: BTreeMap<NodeId, Member>,
}

impl Directory {
    /// Looks up a node; it may be dead.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// All members, including dead ones, ordered by node.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members that are alive or suspected.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.state != MemberState::Dead)
    }

    /// Members with all the given roles that may be assigned work.
    pub fn usable(&self, role: RoleSet) -> impl Iterator<Item = &Member> {
        self.iter().filter(move |member| member.is_usable() && member.roles.contains(role))
    }

    /// Whether this incarnation of the node is the latest known and not dead.
    pub fn is_alive(&self, node: NodeId, incarnation: Incarnation) -> bool {
        let known = self.get(node);
        known.is_some_and(|member| member.incarnation == incarnation && member.state != MemberState::Dead)
    }

    /// Digest of the live members. Dead members are left out, since nodes forget them at different times.
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::with_capacity(self.members.len() * 24);
        for member in self.live() {
            bytes.extend(member.node.0.to_le_bytes());
            bytes.extend(member.incarnation.0.to_le_bytes());
            bytes.extend(member.refutation.to_le_bytes());
            bytes.push(member.state as u8);
        }
        stable_hash(&[&bytes])
    }

    pub(crate) fn insert(&mut self, member: Member) {
        self.members.insert(member.node, member);
    }

    pub(crate) fn remove(&mut self, node: NodeId) {
        self.members.remove(&node);
    }
}

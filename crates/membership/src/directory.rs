//! All members known.

use std::collections::BTreeMap;

use sumacdrift_types::{Incarnation, NodeId, stable_hash};

use crate::{Member, MemberState, RoleSet};

/// Members by node.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    members: BTreeMap<NodeId, Member>,
}

impl Directory {
    /// The entry of a node.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// All entries, the dead included, in order of node.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members that are not taken for dead.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.state != MemberState::Dead)
    }

    /// Members with a role that may be given work.
    pub fn usable(&self, role: RoleSet) -> impl Iterator<Item = &Member> {
        self.iter().filter(move |member| member.is_usable() && member.roles.contains(role))
    }

    /// Whether this life of the node is not taken for dead.
    pub fn is_alive(&self, node: NodeId, incarnation: Incarnation) -> bool {
        let known = self.get(node);
        known.is_some_and(|member| member.incarnation == incarnation && member.state != MemberState::Dead)
    }

    /// A digest that is equal for equal live members. The dead are left out, since nodes forget them at
    /// different times and would take that for a difference.
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

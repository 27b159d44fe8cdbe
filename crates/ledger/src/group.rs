//! Which replicas form the group.

use std::net::SocketAddr;

use sumacdrift_mutants::{Rule, is_broken};

use crate::message::{GroupMessage, MemberMessage};

/// A member of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the node.
    pub node: String,
    /// Where it answers other nodes.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Epoch at which it joined. A machine that left and joined again is another member.
    pub joined: u64,
}

/// A group of replicas. Its epoch rises with each change.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Group {
    /// Number of the group; 0 where there is none yet.
    pub epoch: u64,
    /// The members.
    pub members: Vec<Member>,
}

/// Epoch of the first group.
pub(crate) const FOUNDING_EPOCH: u64 = 1;

impl Group {
    /// The first group.
    pub fn founded(members: Vec<Member>) -> Group {
        let founders = members.into_iter().map(|member| Member { joined: FOUNDING_EPOCH, ..member });
        Group { epoch: FOUNDING_EPOCH, members: sorted(founders.collect()) }
    }

    /// Members that must have a record before it holds.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Other members that a replica without records must have read before it may vote: one more than can lack a
    /// record that this replica had acknowledged.
    pub fn sources_to_catch_up(&self) -> usize {
        if is_broken(Rule::LedgerReadsEnough) {
            return 1;
        }
        let may_lack = self.members.len() - self.majority();
        (may_lack + 1).min(self.members.len().saturating_sub(1))
    }

    /// The member of that name.
    pub fn member(&self, node: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.node == node)
    }

    /// The next group, with one member more, who joins with it; a member of the same name is replaced.
    pub fn with(&self, member: Member) -> Group {
        let mut next = self.without(&member.node);
        next.members.push(Member { joined: next.epoch, ..member });
        next.members = sorted(next.members);
        next
    }

    /// The next group, with one member in the place of another.
    pub fn replacing(&self, lost: &str, member: Member) -> Group {
        Group { epoch: self.epoch, ..self.without(lost) }.with(member)
    }

    /// The next group, without a member.
    pub fn without(&self, node: &str) -> Group {
        let members = self.members.iter().filter(|member| member.node != node).cloned().collect();
        Group { epoch: self.epoch + 1, members }
    }

    /// The group as a message.
    pub fn to_message(&self) -> GroupMessage {
        let members = self.members.iter().map(|member| MemberMessage {
            node: member.node.clone(),
            address: member.address.to_string(),
            zone: member.zone.clone(),
            joined: member.joined,
        });
        GroupMessage { epoch: self.epoch, members: members.collect() }
    }

    /// The group of a message; `None` where an address can't be read.
    pub fn from_message(message: &GroupMessage) -> Option<Group> {
        let members = message.members.iter().map(|member| {
            let address = member.address.parse().ok()?;
            let MemberMessage { node, zone, joined, .. } = member.clone();
            Some(Member { node, address, zone, joined })
        });
        Some(Group { epoch: message.epoch, members: members.collect::<Option<Vec<_>>>()? })
    }
}

fn sorted(mut members: Vec<Member>) -> Vec<Member> {
    members.sort_by(|left, right| left.node.cmp(&right.node));
    members
}

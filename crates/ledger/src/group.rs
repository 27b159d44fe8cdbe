//! Which replicas form a group.

use std::collections::BTreeSet;
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

/// Number of a group among all groups of the ledger; the first one is 0.
pub type GroupNumber = u32;

/// A group of replicas. Its epoch rises with each change.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Group {
    /// Which of the groups it is.
    pub number: GroupNumber,
    /// Version of the group; 0 where there is none yet.
    pub epoch: u64,
    /// The members.
    pub members: Vec<Member>,
}

/// Epoch of the first group.
pub(crate) const FOUNDING_EPOCH: u64 = 1;

impl Group {
    /// The only group of a small ledger, at its first epoch.
    pub fn founded(members: Vec<Member>) -> Group {
        Self::founded_as(0, members)
    }

    /// A group at its first epoch.
    pub fn founded_as(number: GroupNumber, members: Vec<Member>) -> Group {
        let founders = members.into_iter().map(|member| Member { joined: FOUNDING_EPOCH, ..member });
        Group { number, epoch: FOUNDING_EPOCH, members: sorted(founders.collect()) }
    }

    /// Members that must have a record before it holds.
    pub fn majority(&self) -> usize {
        majority_of(self.members.len())
    }

    /// Other members that a replica without records must have read before it may vote, where every member may have
    /// voted.
    pub fn sources_to_catch_up(&self) -> usize {
        self.sources_besides(&BTreeSet::new(), "")
    }

    /// Other members that a replica without records must have read before it may vote: one more than can lack a
    /// record that was acknowledged.
    ///
    /// Members that joined and never voted acknowledged nothing. So every record is at a majority of the members
    /// without them, which is the smaller group that they joined.
    pub(crate) fn sources_besides(&self, never_voted: &BTreeSet<String>, own: &str) -> usize {
        if is_broken(Rule::LedgerReadsEnough) {
            return 1;
        }
        let may_have_voted = self.members.iter().filter(|member| !never_voted.contains(&member.node));
        let (voters, others) = may_have_voted
            .fold((0, 0), |(voters, others), member| (voters + 1, others + usize::from(member.node != own)));
        let may_lack = voters - majority_of(voters).min(voters);
        let others = if own.is_empty() { voters.saturating_sub(1) } else { others };
        (may_lack + 1).min(others)
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
        Group { number: self.number, epoch: self.epoch + 1, members }
    }

    /// Members of an earlier version of the group that are not in this one and have nobody in their place.
    pub fn departed_since(&self, earlier: &Group) -> Vec<String> {
        let is_shrunk = self.number == earlier.number && self.members.len() < earlier.members.len();
        let gone = earlier.members.iter().filter(|member| is_shrunk && self.member(&member.node).is_none());
        gone.map(|member| member.node.clone()).collect()
    }

    /// The group as a message.
    pub fn to_message(&self) -> GroupMessage {
        let members = self.members.iter().map(|member| MemberMessage {
            node: member.node.clone(),
            address: member.address.to_string(),
            zone: member.zone.clone(),
            joined: member.joined,
        });
        GroupMessage { epoch: self.epoch, members: members.collect(), number: self.number }
    }

    /// The group of a message; `None` where an address can't be read.
    pub fn from_message(message: &GroupMessage) -> Option<Group> {
        let members = message.members.iter().map(|member| {
            let address = member.address.parse().ok()?;
            let MemberMessage { node, zone, joined, .. } = member.clone();
            Some(Member { node, address, zone, joined })
        });
        let members = members.collect::<Option<Vec<_>>>()?;
        Some(Group { number: message.number, epoch: message.epoch, members })
    }
}

fn majority_of(members: usize) -> usize {
    members / 2 + 1
}

fn sorted(mut members: Vec<Member>) -> Vec<Member> {
    members.sort_by(|left, right| left.node.cmp(&right.node));
    members
}

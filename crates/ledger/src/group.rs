//! Membership of a replica group.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use sumacdrift_mutants::{Rule, is_broken};

use crate::message::{GroupMessage, MemberMessage};

/// Member of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Member {
    pub node: String,
    /// Address for requests of other nodes.
    pub address: SocketAddr,
    pub zone: String,
    /// Epoch at which it joined. A machine that left and rejoined is a different member.
    pub joined: u64,
}

/// Index of a group in the ledger, starting at 0.
pub type GroupNumber = u32;

/// Group of replicas. Its epoch increases with each change.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[allow(missing_docs)]
pub struct Group {
    pub number: GroupNumber,
    /// Version of the group; 0 if there is no group yet.
    pub epoch: u64,
    pub members: Vec<Member>,
    /// Least number of copies of each committed record, if more than a majority or the number of members is less; 0
    /// for groups of which a majority is enough.
    pub min_copies: u32,
    /// Members that handed over their records before a planned stop and have not resumed since. They do not vote, and
    /// a commit quorum of the others stores all that they acknowledged.
    pub handed_over: BTreeSet<String>,
}

/// Epoch of the first version of a group.
pub(crate) const FOUNDING_EPOCH: u64 = 1;

impl Group {
    /// First version of the only group of a ledger.
    pub fn initial(members: Vec<Member>) -> Group {
        Self::initial_numbered(0, members)
    }

    /// First version of a group.
    pub fn initial_numbered(number: GroupNumber, members: Vec<Member>) -> Group {
        let founders = members.into_iter().map(|member| Member { joined: FOUNDING_EPOCH, ..member });
        Group {
            number,
            epoch: FOUNDING_EPOCH,
            members: sorted_by_node(founders.collect()),
            ..Group::default()
        }
    }

    /// Number of members that form a majority.
    pub fn majority(&self) -> usize {
        majority_size(self.members.len())
    }

    /// Number of members that must store a record before it is committed: a majority, or more in a small group that
    /// must tolerate as many lost disks as a larger one.
    pub fn commit_quorum(&self) -> usize {
        if is_broken(Rule::LedgerSmallGroupsCommitMoreCopies) {
            return self.majority();
        }
        self.commit_quorum_of(self.members.len())
    }

    /// Number of members of which at least one knows each committed record.
    pub fn read_quorum(&self) -> usize {
        self.members.len() - self.commit_quorum().min(self.members.len()) + 1
    }

    fn commit_quorum_of(&self, members: usize) -> usize {
        let min_copies = usize::try_from(self.min_copies).unwrap_or(usize::MAX);
        majority_size(members).max(min_copies.min(members))
    }

    /// Whether this version applies instead of another one of the same group. A build that does not know `min_copies`
    /// or `handed_over` passes an epoch on without it.
    pub fn supersedes(&self, other: &Group) -> bool {
        let rank = |group: &Group| (group.epoch, group.min_copies, group.handed_over.len());
        rank(self) > rank(other)
    }

    /// Number of other members that a replica without records must read before it may vote, if every member may have
    /// voted.
    pub fn required_sources(&self) -> usize {
        self.required_sources_except(&BTreeSet::new(), "")
    }

    /// Number of other members that a replica without records must read before it may vote: one more than the number of
    /// members that may lack a committed record.
    ///
    /// Members that have never voted have acknowledged no records, and those that handed theirs over acknowledge none
    /// before they resume. So every committed record is stored by a commit quorum of the other members.
    pub(crate) fn required_sources_except(&self, never_voted: &BTreeSet<String>, own: &str) -> usize {
        if is_broken(Rule::LedgerReadsEnough) {
            return 1;
        }
        let is_source = |node| !never_voted.contains(node) && !self.handed_over.contains(node);
        let may_have_voted = self.members.iter().filter(|member| is_source(&member.node));
        let (voters, others) = may_have_voted
            .fold((0, 0), |(voters, others), member| (voters + 1, others + usize::from(member.node != own)));
        let may_lack = voters - self.commit_quorum_of(voters).min(voters);
        let others = if own.is_empty() { voters.saturating_sub(1) } else { others };
        (may_lack + 1).min(others)
    }

    /// Finds a member by the name of its node.
    pub fn member(&self, node: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.node == node)
    }

    /// Next version of the group with a new member, which joins at its epoch. Replaces a member of the same name.
    pub fn with_member(&self, member: Member) -> Group {
        let mut next = self.without_member(&member.node);
        next.members.push(Member { joined: next.epoch, ..member });
        next.members = sorted_by_node(next.members);
        next
    }

    /// Next version of the group with a new member instead of a lost one.
    pub fn with_replacement(&self, lost: &str, replacement: Member) -> Group {
        Group { epoch: self.epoch, ..self.without_member(lost) }.with_member(replacement)
    }

    /// Next version of the group without a member.
    pub fn without_member(&self, node: &str) -> Group {
        let members = self.members.iter().filter(|member| member.node != node).cloned().collect();
        Group { members, ..self.with_resumed(node) }
    }

    /// Next version of the group after a member has handed over its records before a planned stop.
    pub(crate) fn with_handed_over(&self, node: &str) -> Group {
        let mut next = Group { epoch: self.epoch + 1, ..self.clone() };
        next.handed_over.insert(node.to_owned());
        next
    }

    /// Next version of the group in which a member that handed over its records votes again. It holds all that it
    /// acknowledged; what was committed meanwhile is stored by a commit quorum without it.
    pub(crate) fn with_resumed(&self, node: &str) -> Group {
        let mut next = Group { epoch: self.epoch + 1, ..self.clone() };
        next.handed_over.remove(node);
        next
    }

    /// Nodes of members of an earlier version that were removed without a replacement; empty if the group did not
    /// shrink.
    pub fn removed_since(&self, earlier: &Group) -> Vec<String> {
        let is_shrunk = self.number == earlier.number && self.members.len() < earlier.members.len();
        let removed =
            earlier.members.iter().filter(|member| is_shrunk && self.member(&member.node).is_none());
        removed.map(|member| member.node.clone()).collect()
    }

    /// Converts the group to its wire form.
    pub fn to_message(&self) -> GroupMessage {
        let members = self.members.iter().map(|member| MemberMessage {
            node: member.node.clone(),
            address: member.address.to_string(),
            zone: member.zone.clone(),
            joined: member.joined,
        });
        GroupMessage {
            epoch: self.epoch,
            members: members.collect(),
            number: self.number,
            min_copies: self.min_copies,
            handed_over: self.handed_over.iter().cloned().collect(),
        }
    }

    /// Converts a group from its wire form; `None` if an address is invalid.
    pub fn from_message(message: &GroupMessage) -> Option<Group> {
        let members = message.members.iter().map(|member| {
            let address = member.address.parse().ok()?;
            let MemberMessage { node, zone, joined, .. } = member.clone();
            Some(Member { node, address, zone, joined })
        });
        let members = members.collect::<Option<Vec<_>>>()?;
        let GroupMessage { number, epoch, min_copies, .. } = *message;
        let handed_over = message.handed_over.iter().cloned().collect();
        Some(Group { number, epoch, members, min_copies, handed_over })
    }
}

fn majority_size(members: usize) -> usize {
    members / 2 + 1
}

fn sorted_by_node(mut members: Vec<Member>) -> Vec<Member> {
    members.sort_by(|left, right| left.node.cmp(&right.node));
    members
}

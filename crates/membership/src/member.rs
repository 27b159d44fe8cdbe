//! One member as the fleet knows it.

use std::net::SocketAddr;

use sumacdrift_types::{Incarnation, NodeId, RegionName, ZoneName};

/// Roles of a member, as bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoleSet(pub u32);

impl RoleSet {
    /// Takes callers' requests.
    pub const GATEWAY: RoleSet = RoleSet(1);
    /// Holds replicas of program shards.
    pub const PROGRAMS: RoleSet = RoleSet(2);
    /// Owns engines.
    pub const ENGINES: RoleSet = RoleSet(4);

    /// Both sets together.
    pub fn with(self, other: RoleSet) -> RoleSet {
        RoleSet(self.0 | other.0)
    }

    /// Whether all of `other` is in this set.
    pub fn contains(self, other: RoleSet) -> bool {
        self.0 & other.0 == other.0
    }
}

/// Whether a member answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer and has not refuted that yet.
    Suspect,
    /// It is taken for dead.
    Dead,
}

/// One life of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// How often the node refuted its death or changed its own entry.
    pub refutation: u64,
    /// Whether it answers.
    pub state: MemberState,
    /// Whether it is being stopped and takes no new work.
    pub is_leaving: bool,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// What it does.
    pub roles: RoleSet,
}

impl Member {
    /// Whether this news about a node replaces the older `known`.
    ///
    /// A later life beats an earlier one; within a life the node's own later word beats what others said; and
    /// at the same word the worse state wins, so that only the node itself can end a suspicion.
    pub fn supersedes(&self, known: &Member) -> bool {
        let rank = |member: &Member| (member.incarnation, member.refutation, member.state);
        rank(self) > rank(known)
    }

    /// Whether it may be given work that it need not keep for long.
    pub fn is_usable(&self) -> bool {
        self.state != MemberState::Dead && !self.is_leaving
    }
}

//! A member of the fleet and the order of its updates.

use std::net::SocketAddr;

use sumacdrift_types::{Incarnation, NodeId, RegionName, ZoneName};

/// Roles of a member, as a bit set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoleSet(pub u32);

impl RoleSet {
    /// Accepts callers' requests.
    pub const GATEWAY: RoleSet = RoleSet(1);
    /// Hosts replicas of program shards.
    pub const PROGRAMS: RoleSet = RoleSet(2);
    /// Manages engines.
    pub const ENGINES: RoleSet = RoleSet(4);

    /// Union of two sets.
    pub fn with(self, other: RoleSet) -> RoleSet {
        RoleSet(self.0 | other.0)
    }

    /// Whether `other` is a subset.
    pub fn contains(self, other: RoleSet) -> bool {
        self.0 & other.0 == other.0
    }
}

/// Liveness of a member, from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Did not respond to a probe and has not refuted the suspicion.
    Suspect,
    /// Declared dead after its suspicion timed out.
    Dead,
}

/// Entry of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identifies the node across restarts.
    pub node: NodeId,
    /// Identifies the process; increases with each restart of the node.
    pub incarnation: Incarnation,
    /// Version of the entry within an incarnation. Only the node itself increments it, to refute a suspicion
    /// or to change its entry.
    pub refutation: u64,
    /// Liveness as last reported.
    pub state: MemberState,
    /// Whether the node is shutting down and takes no new work.
    pub is_leaving: bool,
    /// Address at which other nodes reach this one.
    pub address: SocketAddr,
    /// Region in which the node runs.
    pub region: RegionName,
    /// Availability zone in which the node runs.
    pub zone: ZoneName,
    /// Roles that the node serves.
    pub roles: RoleSet,
}

impl Member {
    /// Whether this entry replaces `known`.
    ///
    /// A later incarnation wins. Within an incarnation the higher refutation wins, and at the same refutation
    /// the worse state, so that only the node itself can end a suspicion.
    pub fn supersedes(&self, known: &Member) -> bool {
        let rank = |member: &Member| (member.incarnation, member.refutation, member.state);
        rank(self) > rank(known)
    }

    /// Whether the member may be assigned short-lived work: it is alive or suspected, and not leaving.
    pub fn is_usable(&self) -> bool {
        self.state != MemberState::Dead && !self.is_leaving
    }
}

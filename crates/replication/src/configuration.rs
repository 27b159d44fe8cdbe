//! Who belongs to a group.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use sumacdrift_types::{Incarnation, NodeId};

use crate::LogIndex;

/// One life of one node as a member of groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaId {
    /// The node.
    pub node: NodeId,
    /// The life of its process.
    pub incarnation: Incarnation,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.node, self.incarnation)
    }
}

/// Voters and learners of a group. A configuration is in force from the moment it stands in a replica's log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Replicas that elect leaders and whose majority commits.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log and have no vote.
    pub learners: BTreeSet<ReplicaId>,
    /// Where in the log each member was added; founders are left out.
    pub added: BTreeMap<ReplicaId, LogIndex>,
}

/// One step of membership change. Only single steps are allowed, so that any two majorities share a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationChange {
    /// Begin to send the log to a replica.
    AddLearner(ReplicaId),
    /// Give a learner a vote.
    Promote(ReplicaId),
    /// Drop a voter or learner.
    Remove(ReplicaId),
}

impl Configuration {
    /// A configuration of voters only.
    pub fn of_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self { voters: voters.into_iter().collect(), ..Self::default() }
    }

    /// Number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the replica votes.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica)
    }

    /// Whether the replica votes or learns.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.is_voter(replica) || self.learners.contains(&replica)
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = ReplicaId> {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Where in the log a member was added; 0 for a founder.
    ///
    /// It tells one membership of a replica from a later one: an acknowledgement from before its removal says
    /// nothing about what it holds after it was added again.
    pub fn added_at(&self, replica: ReplicaId) -> LogIndex {
        self.added.get(&replica).copied().unwrap_or(0)
    }

    /// The configuration after one step at a place in the log; `None` where the step changes nothing or leaves
    /// no voter.
    pub fn changed(&self, change: ConfigurationChange, index: LogIndex) -> Option<Configuration> {
        let mut next = self.clone();
        match change {
            ConfigurationChange::AddLearner(replica) => {
                if self.contains(replica) {
                    return None;
                }
                next.learners.insert(replica);
                next.added.insert(replica, index);
            }
            ConfigurationChange::Promote(replica) => {
                if !next.learners.remove(&replica) {
                    return None;
                }
                next.voters.insert(replica);
            }
            ConfigurationChange::Remove(replica) => {
                let removed = next.voters.remove(&replica) | next.learners.remove(&replica);
                if !removed {
                    return None;
                }
                next.added.remove(&replica);
            }
        }
        (!next.voters.is_empty()).then_some(next)
    }
}

//! Group membership.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use sumacdrift_types::{Incarnation, NodeId};

use crate::LogIndex;

/// A replica: a node and the incarnation of its process.
#[allow(missing_docs)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaId {
    pub node: NodeId,
    pub incarnation: Incarnation,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.node, self.incarnation)
    }
}

/// Voters and learners of a group. A replica uses the latest configuration in its log, committed or not.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Replicas that vote in elections and count towards the commit majority.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log and don't vote.
    pub learners: BTreeSet<ReplicaId>,
    /// Index of the entry that added each member; initial members are omitted.
    pub added: BTreeMap<ReplicaId, LogIndex>,
}

/// A membership change of a single replica, so that old and new majorities always overlap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationChange {
    /// Add a replica without a vote.
    AddLearner(ReplicaId),
    /// Turn a learner into a voter.
    Promote(ReplicaId),
    /// Remove a voter or learner.
    Remove(ReplicaId),
}

impl Configuration {
    /// Creates the initial configuration of a group, without learners.
    pub fn of_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self { voters: voters.into_iter().collect(), ..Self::default() }
    }

    /// Number of voters in a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the replica is a voter.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica)
    }

    /// Whether the replica is a voter or learner.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.is_voter(replica) || self.learners.contains(&replica)
    }

    /// Voters, then learners.
    pub fn members(&self) -> impl Iterator<Item = ReplicaId> {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Index of the entry that added a member; 0 for an initial member.
    ///
    /// Distinguishes successive memberships of a replica: an acknowledgement from before its removal is not valid
    /// after it has been added again.
    pub fn added_index(&self, replica: ReplicaId) -> LogIndex {
        self.added.get(&replica).copied().unwrap_or(0)
    }

    /// The configuration after a change at log position `index`; `None` if the change has no effect or leaves no
    /// voters.
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

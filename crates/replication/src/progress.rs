//! Replication progress of a leader's followers.

use std::collections::BTreeMap;

use sumacdrift_types::Timestamp;

use crate::{Configuration, LogIndex, ReplicaId};

/// Replication progress of one follower.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// Index at which the follower was added; replies with another value belong to an earlier membership.
    pub(crate) membership: LogIndex,
    /// Highest index up to which the follower's log is known to match the leader's.
    pub(crate) match_index: LogIndex,
    /// Index of the next entry to send.
    pub(crate) next_index: LogIndex,
    /// Send time of the latest acknowledged message.
    pub(crate) acknowledged: Timestamp,
    pub(crate) last_sent: Timestamp,
    /// When a snapshot was sent that is not yet acknowledged.
    pub(crate) snapshot_sent: Option<Timestamp>,
}

/// Progress of all followers of a leader.
#[derive(Debug, Default)]
pub(crate) struct Followers {
    by_replica: BTreeMap<ReplicaId, Progress>,
}

impl Followers {
    /// Adds new members of the configuration, starting at `next_index`, and removes former members.
    pub(crate) fn update_members(
        &mut self,
        configuration: &Configuration,
        own_id: ReplicaId,
        next_index: LogIndex,
        now: Timestamp,
    ) {
        self.by_replica.retain(|replica, progress| {
            configuration.contains(*replica) && configuration.added_index(*replica) == progress.membership
        });
        for replica in configuration.members().filter(|replica| *replica != own_id) {
            self.by_replica.entry(replica).or_insert(Progress {
                membership: configuration.added_index(replica),
                match_index: 0,
                next_index,
                acknowledged: now,
                last_sent: Timestamp::default(),
                snapshot_sent: None,
            });
        }
    }

    pub(crate) fn get(&self, replica: ReplicaId) -> Option<&Progress> {
        self.by_replica.get(&replica)
    }

    pub(crate) fn get_mut(&mut self, replica: ReplicaId) -> Option<&mut Progress> {
        self.by_replica.get_mut(&replica)
    }

    pub(crate) fn replicas(&self) -> Vec<ReplicaId> {
        self.by_replica.keys().copied().collect()
    }

    /// Highest index stored by a majority of voters, including the leader if it is a voter.
    pub(crate) fn majority_index(
        &self,
        configuration: &Configuration,
        own_id: ReplicaId,
        own_last_index: LogIndex,
    ) -> LogIndex {
        let index_of = |voter: &ReplicaId| match *voter == own_id {
            true => own_last_index,
            false => self.get(*voter).map_or(0, |progress| progress.match_index),
        };
        majority_threshold(configuration, index_of).unwrap_or(0)
    }

    /// Latest send time of messages that a majority of voters has acknowledged; the leader itself counts as `now`.
    pub(crate) fn last_majority_contact(
        &self,
        configuration: &Configuration,
        own_id: ReplicaId,
        now: Timestamp,
    ) -> Timestamp {
        let contact_of = |voter: &ReplicaId| match *voter == own_id {
            true => now,
            false => self.get(*voter).map_or(Timestamp::default(), |progress| progress.acknowledged),
        };
        majority_threshold(configuration, contact_of).unwrap_or_default()
    }
}

/// The highest value that a majority of voters reaches.
fn majority_threshold<V: Ord>(
    configuration: &Configuration,
    value_of: impl Fn(&ReplicaId) -> V,
) -> Option<V> {
    let mut values: Vec<V> = configuration.voters.iter().map(value_of).collect();
    values.sort_by(|left, right| right.cmp(left));
    values.into_iter().nth(configuration.majority() - 1)
}

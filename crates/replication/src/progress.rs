//! What a leader knows of its followers.

use std::collections::BTreeMap;

use sumacdrift_types::Timestamp;

use crate::{Configuration, LogIndex, ReplicaId};

/// What a leader knows of one follower.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// Where the follower was added; replies of an earlier membership are not about this one.
    pub(crate) membership: LogIndex,
    /// How far the follower's log is known to equal the leader's.
    pub(crate) match_index: LogIndex,
    /// The next entry to send.
    pub(crate) next_index: LogIndex,
    /// When the latest acknowledged message was sent.
    pub(crate) acknowledged: Timestamp,
    /// When something was last sent.
    pub(crate) last_sent: Timestamp,
    /// When a snapshot was sent that is not acknowledged yet.
    pub(crate) snapshot_sent: Option<Timestamp>,
}

/// All followers of a leader.
#[derive(Debug, Default)]
pub(crate) struct Followers {
    by_replica: BTreeMap<ReplicaId, Progress>,
}

impl Followers {
    /// Follows the configuration: new members start at `next_index`, gone ones are dropped.
    pub(crate) fn follow(
        &mut self,
        configuration: &Configuration,
        own: ReplicaId,
        next_index: LogIndex,
        now: Timestamp,
    ) {
        self.by_replica.retain(|replica, progress| {
            configuration.contains(*replica) && configuration.added_at(*replica) == progress.membership
        });
        for replica in configuration.members().filter(|replica| *replica != own) {
            self.by_replica.entry(replica).or_insert(Progress {
                membership: configuration.added_at(replica),
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

    /// The highest index that a majority of voters holds, counting the leader's own log if it votes.
    pub(crate) fn majority_index(
        &self,
        configuration: &Configuration,
        own: ReplicaId,
        own_last: LogIndex,
    ) -> LogIndex {
        let index_of = |voter: &ReplicaId| match *voter == own {
            true => own_last,
            false => self.get(*voter).map_or(0, |progress| progress.match_index),
        };
        majority_value(configuration, index_of).unwrap_or(0)
    }

    /// The latest time at which a majority of voters still followed this leader.
    pub(crate) fn majority_contact(
        &self,
        configuration: &Configuration,
        own: ReplicaId,
        now: Timestamp,
    ) -> Timestamp {
        let contact_of = |voter: &ReplicaId| match *voter == own {
            true => now,
            false => self.get(*voter).map_or(Timestamp::default(), |progress| progress.acknowledged),
        };
        majority_value(configuration, contact_of).unwrap_or_default()
    }
}

fn majority_value<V: Ord>(configuration: &Configuration, value_of: impl Fn(&ReplicaId) -> V) -> Option<V> {
    let mut values: Vec<V> = configuration.voters.iter().map(value_of).collect();
    values.sort_by(|left, right| right.cmp(left));
    values.into_iter().nth(configuration.majority() - 1)
}

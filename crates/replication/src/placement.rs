//! Which nodes hold the replicas of a group.

use sumacdrift_types::{ZoneName, rendezvous_order};

use crate::ReplicaId;

/// A life that could hold a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The life.
    pub replica: ReplicaId,
    /// Its zone.
    pub zone: ZoneName,
}

/// Chooses up to `count` candidates for a group, in different zones as far as there are any.
///
/// `present` are members that stay; their zones count as taken. The order is by rendezvous hashing of the node,
/// not of its life, so that a node that restarts gets back the groups that it had.
pub fn spread(group: u64, candidates: &[Candidate], present: &[Candidate], count: usize) -> Vec<Candidate> {
    let key = group.to_le_bytes();
    let mut ordered = rendezvous_order(&key, candidates, |one| one.replica.node.0.to_le_bytes().to_vec());
    ordered.retain(|candidate| present.iter().all(|member| member.replica.node != candidate.replica.node));
    let mut chosen: Vec<Candidate> = Vec::new();
    while chosen.len() < count && !ordered.is_empty() {
        let members_in =
            |zone: &ZoneName| present.iter().chain(&chosen).filter(|member| member.zone == *zone).count();
        let fewest = ordered.iter().map(|candidate| members_in(&candidate.zone)).min().unwrap_or(0);
        let next = ordered.iter().position(|candidate| members_in(&candidate.zone) == fewest);
        let Some(next) = next else { break };
        chosen.push(ordered.remove(next));
    }
    chosen
}

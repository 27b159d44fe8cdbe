//! Placement of a group's replicas on nodes.

use sumacdrift_types::{ZoneName, rendezvous_order};

use crate::ReplicaId;

/// A process that may host a replica, and its zone.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub replica: ReplicaId,
    pub zone: ZoneName,
}

/// Chooses up to `count` candidates for a group, spread evenly over zones.
///
/// `present` are the remaining members; they count towards their zones, and their nodes are not chosen again.
/// Candidates are ordered by rendezvous hashing of the node, not of its incarnation, so that a restarted node gets
/// the same groups.
pub fn spread(group: u64, candidates: &[Candidate], present: &[Candidate], count: usize) -> Vec<Candidate> {
    let key = group.to_le_bytes();
    let mut ranked =
        rendezvous_order(&key, candidates, |candidate| candidate.replica.node.0.to_le_bytes().to_vec());
    ranked.retain(|candidate| present.iter().all(|member| member.replica.node != candidate.replica.node));
    let mut chosen: Vec<Candidate> = Vec::new();
    while chosen.len() < count && !ranked.is_empty() {
        let members_in =
            |zone: &ZoneName| present.iter().chain(&chosen).filter(|member| member.zone == *zone).count();
        let fewest = ranked.iter().map(|candidate| members_in(&candidate.zone)).min().unwrap_or(0);
        let position = ranked.iter().position(|candidate| members_in(&candidate.zone) == fewest);
        let Some(position) = position else { break };
        chosen.push(ranked.remove(position));
    }
    chosen
}

//! Planning of the copies of retained turns that a member makes before it leaves.

use std::collections::BTreeSet;

use sumacdrift_types::stable_hash;

/// For each remaining member, the turns to copy to it so that `wanted` members hold every turn. `holds` lists the turns
/// that each member already holds. Copies are distributed over the members by a hash of the turn's name.
pub fn plan_copies(turns: &[String], holds: &[&BTreeSet<String>], wanted: usize) -> Vec<Vec<String>> {
    let mut copies = vec![Vec::new(); holds.len()];
    for turn in turns {
        let holders = holds.iter().filter(|held| held.contains(turn)).count();
        let first = usize::try_from(stable_hash(&[turn.as_bytes()]) % holds.len().max(1) as u64).unwrap_or(0);
        let members = (0..holds.len()).map(|offset| (first + offset) % holds.len());
        let targets = members.filter(|member| !holds[*member].contains(turn));
        for member in targets.take(wanted.saturating_sub(holders)) {
            copies[member].push(turn.clone());
        }
    }
    copies
}

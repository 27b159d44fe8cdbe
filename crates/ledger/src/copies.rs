//! Which copies of kept turns a member makes before it leaves.

use std::collections::BTreeSet;

use sumacdrift_types::stable_hash;

/// For each of the members that are left, the turns that it must get so that every one is held by as many of them.
/// `holds` says what each holds already. The copies are spread over the members by the turn's name.
pub fn copies_to_make(turns: &[String], holds: &[&BTreeSet<String>], wanted: usize) -> Vec<Vec<String>> {
    let mut copies = vec![Vec::new(); holds.len()];
    for turn in turns {
        let holders = holds.iter().filter(|held| held.contains(turn)).count();
        let first = usize::try_from(stable_hash(&[turn.as_bytes()]) % holds.len().max(1) as u64).unwrap_or(0);
        let places = (0..holds.len()).map(|step| (first + step) % holds.len());
        let lacking = places.filter(|place| !holds[*place].contains(turn));
        for place in lacking.take(wanted.saturating_sub(holders)) {
            copies[place].push(turn.clone());
        }
    }
    copies
}

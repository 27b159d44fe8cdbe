//! Which retained turns later ones still need: a turn is kept with its chain for as long as a turn that continues it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use crate::retention_message::TurnContinuation;

/// Times in milliseconds for which turns are still needed by those that continue them, directly or through others.
pub fn needed_turns(continuations: &[TurnContinuation]) -> BTreeMap<&str, u64> {
    let previous_of: HashMap<&str, &str> =
        continuations.iter().map(|later| (later.turn.as_str(), later.previous.as_str())).collect();
    let mut kept: Vec<&TurnContinuation> =
        continuations.iter().filter(|later| later.remaining_millis > 0).collect();
    // In this order, each turn gets its final time when it is met first.
    kept.sort_unstable_by_key(|later| Reverse(later.remaining_millis));
    let mut needed = BTreeMap::new();
    for later in kept {
        let mut next = Some(later.previous.as_str());
        while let Some(turn) = next.filter(|turn| !turn.is_empty() && !needed.contains_key(turn)) {
            needed.insert(turn, later.remaining_millis);
            next = previous_of.get(turn).copied();
        }
    }
    needed
}

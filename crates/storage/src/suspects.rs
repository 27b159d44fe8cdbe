//! Which members of the group are asked first, and how long they may take before the others are asked too.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_ledger::{Group, GroupNumber, Member};
use sumacdrift_types::Location;
use tokio::time::Instant;

use crate::member_order::nearest_first;

/// How long a member that answered late or not at all is asked last.
const SUSPECTED_FOR: Duration = Duration::from_secs(2);
/// Weight of a new observation.
const LEARNING_RATE: f64 = 0.1;
/// How many times the usual time the members that were asked first may take.
const HEDGE_FACTOR: f64 = 4.0;
/// Least and longest time before the others are asked too. A good answer takes a trip between zones and a sync, a few
/// milliseconds together.
const LEAST_HEDGE: Duration = Duration::from_millis(20);
const LONGEST_HEDGE: Duration = Duration::from_millis(300);

/// What earlier questions showed of the members.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    until: HashMap<String, Instant>,
    usual_seconds: HashMap<GroupNumber, f64>,
}

impl Suspects {
    /// A member was late while others were not, or could not be asked.
    pub(crate) fn suspect(&mut self, node: &str, now: Instant) {
        self.until.retain(|_, until| *until > now);
        self.until.insert(node.to_owned(), now + SUSPECTED_FOR);
    }

    /// A question to a group was decided after this time.
    pub(crate) fn decided_after(&mut self, group: GroupNumber, taken: Duration) {
        // A member that says nothing tells nothing of how long the others take.
        let seconds = taken.min(self.hedge_after(group)).as_secs_f64();
        let usual = self.usual_seconds.entry(group).or_default();
        *usual += LEARNING_RATE * (seconds - *usual);
    }

    /// How long the members of a group that are asked first may take. It follows how long answers usually take: where all are
    /// slow because there is much to do, asking more of them would only add to it.
    pub(crate) fn hedge_after(&self, group: GroupNumber) -> Duration {
        let usual_seconds = self.usual_seconds.get(&group).copied().unwrap_or_default();
        let usual = Duration::from_secs_f64(usual_seconds * HEDGE_FACTOR);
        (LEAST_HEDGE + usual).min(LONGEST_HEDGE)
    }

    /// The members in the order in which they are asked: the nearest first, of equally near ones by the key, so that all
    /// nodes of a place ask the same of them for the same program, and suspects last.
    pub(crate) fn order(&self, group: &Group, location: &Location, key: &str, now: Instant) -> Vec<Member> {
        let mut order = nearest_first(location, key, &group.members);
        // The sort is stable: within a rank the order stays.
        order.sort_by_key(|member| self.is_suspect(&member.node, now));
        order.into_iter().cloned().collect()
    }

    /// Whether a node was late or said nothing a moment ago.
    pub(crate) fn is_suspect(&self, node: &str, now: Instant) -> bool {
        self.until.get(node).is_some_and(|until| *until > now)
    }
}

//! Order in which members are asked, and the delay before a request is hedged.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_ledger::{Group, GroupNumber, Member};
use sumacdrift_types::Location;
use tokio::time::Instant;

use crate::member_order::nearest_first;

/// How long a member that was late or unreachable is asked last.
const SUSPECT_DURATION: Duration = Duration::from_secs(2);
/// Weight of a new latency sample in the moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// Hedge delay as a multiple of the usual latency.
const HEDGE_FACTOR: f64 = 4.0;
/// Bounds of the hedge delay. A normal reply takes a round trip between zones and a disk sync, a few
/// milliseconds together.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(20);
const MAX_HEDGE_DELAY: Duration = Duration::from_millis(300);

/// Latencies and suspects observed by earlier requests.
#[derive(Debug, Default)]
pub(crate) struct MemberSelection {
    suspect_until: HashMap<String, Instant>,
    usual_seconds: HashMap<GroupNumber, f64>,
}

impl MemberSelection {
    /// Marks a member that was late while others were not, or that could not be reached.
    pub(crate) fn mark_suspect(&mut self, node: &str, now: Instant) {
        self.suspect_until.retain(|_, until| *until > now);
        self.suspect_until.insert(node.to_owned(), now + SUSPECT_DURATION);
    }

    /// Records the time until a request to a group was decided.
    pub(crate) fn record_latency(&mut self, group: GroupNumber, latency: Duration) {
        // The wait for an unresponsive member says nothing about the latency of the others.
        let seconds = latency.min(self.hedge_delay(group)).as_secs_f64();
        let usual = self.usual_seconds.entry(group).or_default();
        *usual += EWMA_WEIGHT * (seconds - *usual);
    }

    /// Hedge delay of a group. It follows the usual latency: where all members are slow under load, hedging
    /// would only add to it.
    pub(crate) fn hedge_delay(&self, group: GroupNumber) -> Duration {
        let usual_seconds = self.usual_seconds.get(&group).copied().unwrap_or_default();
        let usual = Duration::from_secs_f64(usual_seconds * HEDGE_FACTOR);
        (MIN_HEDGE_DELAY + usual).min(MAX_HEDGE_DELAY)
    }

    /// Members in the order in which they are asked: suspects last, nearest first, then in rendezvous order
    /// for `key`, so that all nodes of a zone ask the same members for a program.
    pub(crate) fn order(&self, group: &Group, location: &Location, key: &str, now: Instant) -> Vec<Member> {
        let mut order = nearest_first(location, key, &group.members);
        // The stable sort keeps nearest-first order among suspects and among the other members.
        order.sort_by_key(|member| self.is_suspect(&member.node, now));
        order.into_iter().cloned().collect()
    }

    pub(crate) fn is_suspect(&self, node: &str, now: Instant) -> bool {
        self.suspect_until.get(node).is_some_and(|until| *until > now)
    }
}

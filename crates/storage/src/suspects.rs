//! Which members of the group are asked first.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_ledger::{Group, Member};
use sumacdrift_types::rendezvous_order;
use tokio::time::Instant;

/// How long a member that answered late or not at all is asked last.
const SUSPECTED_FOR: Duration = Duration::from_secs(1);

/// Members that answered late or not at all a moment ago.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    until: HashMap<String, Instant>,
}

impl Suspects {
    /// A member was late.
    pub(crate) fn suspect(&mut self, node: &str, now: Instant) {
        self.until.retain(|_, until| *until > now);
        self.until.insert(node.to_owned(), now + SUSPECTED_FOR);
    }

    /// The members in the order in which they are asked: those of the own zone first, the others by the key, so that
    /// all nodes ask the same of them for the same program, and suspects last.
    pub(crate) fn order(&self, group: &Group, zone: &str, key: &str, now: Instant) -> Vec<Member> {
        let name = |member: &Member| member.node.as_bytes().to_vec();
        let mut order = rendezvous_order(key.as_bytes(), &group.members, name);
        // The sort is stable: within a rank the order stays.
        order.sort_by_key(|member| (self.is_suspect(&member.node, now), member.zone != zone));
        order
    }

    fn is_suspect(&self, node: &str, now: Instant) -> bool {
        self.until.get(node).is_some_and(|until| *until > now)
    }
}

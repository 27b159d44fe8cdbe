//! News that is still to be spread, each piece a bounded number of times.

use std::collections::BTreeMap;

use sumacdrift_types::NodeId;

/// Each piece of news is sent this many times the logarithm of the fleet's size.
const RETRANSMIT_FACTOR: u32 = 3;

/// News to be carried on outgoing messages.
#[derive(Debug, Default)]
pub(crate) struct Broadcasts {
    sent: BTreeMap<NodeId, u32>,
}

impl Broadcasts {
    /// Begins to spread the present entry of a member.
    pub(crate) fn add(&mut self, node: NodeId) {
        self.sent.insert(node, 0);
    }

    /// Takes up to `count` members to tell about, those told least often first.
    pub(crate) fn take(&mut self, count: usize, fleet_size: usize) -> Vec<NodeId> {
        let limit = RETRANSMIT_FACTOR * (fleet_size.max(1).ilog2() + 1);
        let mut pending: Vec<(u32, NodeId)> = self.sent.iter().map(|(node, sent)| (*sent, *node)).collect();
        pending.sort_unstable();
        pending.truncate(count);
        for (sent, node) in &pending {
            if sent + 1 >= limit {
                self.sent.remove(node);
            } else {
                self.sent.insert(*node, sent + 1);
            }
        }
        pending.into_iter().map(|(_, node)| node).collect()
    }
}

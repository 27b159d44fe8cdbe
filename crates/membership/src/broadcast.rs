//! Queue of member updates to piggyback on messages, each a bounded number of times.

use std::collections::BTreeMap;

use sumacdrift_types::NodeId;

/// An update is sent this many times the logarithm of the fleet size.
const RETRANSMIT_FACTOR: u32 = 3;

#[derive(Debug, Default)]
pub(crate) struct BroadcastQueue {
    transmissions: BTreeMap<NodeId, u32>,
}

impl BroadcastQueue {
    /// Enqueues the current entry of a member, replacing an earlier update of it.
    pub(crate) fn add(&mut self, node: NodeId) {
        self.transmissions.insert(node, 0);
    }

    /// Takes up to `count` members whose entries to send, the least often sent first.
    pub(crate) fn take(&mut self, count: usize, fleet_size: usize) -> Vec<NodeId> {
        let max_transmissions = RETRANSMIT_FACTOR * (fleet_size.max(1).ilog2() + 1);
        let mut pending: Vec<(u32, NodeId)> =
            self.transmissions.iter().map(|(node, sent)| (*sent, *node)).collect();
        pending.sort_unstable();
        pending.truncate(count);
        for (sent, node) in &pending {
            if sent + 1 >= max_transmissions {
                self.transmissions.remove(node);
            } else {
                self.transmissions.insert(*node, sent + 1);
            }
        }
        pending.into_iter().map(|(_, node)| node).collect()
    }
}

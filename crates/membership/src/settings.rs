//! Times and sizes of the membership protocol.

use std::time::Duration;

/// Times and sizes of one node's membership protocol.
#[derive(Debug, Clone, Copy)]
pub struct MembershipSettings {
    /// A node probes one other node in each period: a random one and its successor by turns.
    pub probe_interval: Duration,
    /// How long a probe waits before it asks others to probe.
    pub probe_timeout: Duration,
    /// Nodes that are asked to probe a node that did not answer.
    pub indirect_probes: usize,
    /// Shortest time between suspicion and death; grows with the logarithm of the fleet.
    pub suspicion: Duration,
    /// News carried on one message at the most.
    pub news_in_message: usize,
    /// A dead member is remembered this long, so that old news does not revive it.
    pub dead_retention: Duration,
    /// How often whole member lists are compared with a random node.
    pub exchange_interval: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(250),
            indirect_probes: 3,
            suspicion: Duration::from_millis(2000),
            news_in_message: 12,
            dead_retention: Duration::from_secs(600),
            exchange_interval: Duration::from_secs(30),
        }
    }
}

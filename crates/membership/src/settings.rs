//! Settings of the membership protocol.

use std::time::Duration;

/// Timing and size limits of the protocol on one node.
#[derive(Debug, Clone, Copy)]
pub struct MembershipSettings {
    /// Interval between probes. Targets alternate between the ring successor and a random node.
    pub probe_interval: Duration,
    /// Time without an answer after which indirect probes are sent.
    pub probe_timeout: Duration,
    /// Number of nodes asked to probe a target that did not answer.
    pub indirect_probes: usize,
    /// Minimum time from suspicion to death; it grows with the logarithm of the fleet size.
    pub suspicion: Duration,
    /// Maximum number of piggybacked updates per message.
    pub updates_in_message: usize,
    /// Time for which dead members are kept, so that outdated updates do not revive them.
    pub dead_retention: Duration,
    /// Average interval at which member lists are compared with a random node.
    pub exchange_interval: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(250),
            indirect_probes: 3,
            suspicion: Duration::from_millis(2000),
            updates_in_message: 12,
            dead_retention: Duration::from_secs(600),
            exchange_interval: Duration::from_secs(30),
        }
    }
}

//! Timing and size limits of the replication protocol.

use std::time::Duration;

/// Timing and size limits of a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaSettings {
    /// Longest time between two messages of the leader to a follower.
    pub heartbeat_interval: Duration,
    /// Minimum time without a leader's message before a follower starts an election. The leader's lease is slightly
    /// shorter.
    pub election_timeout: Duration,
    /// Maximum number of entries in a message.
    pub max_entries_in_message: usize,
    /// Maximum payload bytes in a message; a single larger entry is still sent.
    pub max_bytes_in_message: usize,
    /// Committed entries retained in the log, so that a slightly lagging follower needs no snapshot.
    pub retained_entries: u64,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(200),
            election_timeout: Duration::from_millis(800),
            max_entries_in_message: 256,
            max_bytes_in_message: 1 << 20,
            retained_entries: 1024,
        }
    }
}

//! Times and sizes of the replication protocol.

use std::time::Duration;

/// Times and sizes of one replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaSettings {
    /// A leader sends to each follower at least this often.
    pub heartbeat_interval: Duration,
    /// Shortest silence after which a follower stands for election; also the length of the leader's lease.
    pub election_timeout: Duration,
    /// Most entries in one message.
    pub max_entries_in_message: usize,
    /// Most payload bytes in one message; a single larger entry still travels.
    pub max_bytes_in_message: usize,
    /// Entries kept behind the commit point, so that a follower that lags a little needs no snapshot.
    pub kept_entries: u64,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(200),
            election_timeout: Duration::from_millis(800),
            max_entries_in_message: 256,
            max_bytes_in_message: 1 << 20,
            kept_entries: 1024,
        }
    }
}

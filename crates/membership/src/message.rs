//! Messages of the membership protocol.

use sumacdrift_types::{Generation, NodeId};

use crate::Member;

/// A packet with the fields that every message carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The sender's own entry, which introduces it and shows its incarnation.
    pub sender: Member,
    /// Configuration generation in force at the sender.
    pub generation: Generation,
    /// Piggybacked updates about other members.
    pub updates: Vec<Member>,
    /// Content of the message.
    pub packet: Packet,
}

/// Content of a protocol message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Packet {
    /// Direct probe.
    Probe {
        /// Echoed in the answer.
        sequence: u64,
    },
    /// Answer to a probe.
    Ack {
        /// Sequence number of the probe.
        sequence: u64,
    },
    /// Request to probe a third node on behalf of the sender.
    ProbeRequest {
        /// Echoed in the relayed answer.
        sequence: u64,
        /// Node to probe.
        target: NodeId,
    },
    /// The target of a probe request answered.
    RelayedAck {
        /// Sequence number of the request.
        sequence: u64,
    },
    /// Anti-entropy: compares member lists; if the digest differs, the receiver replies with
    /// [`Packet::Members`].
    Exchange {
        /// Digest of the sender's live members, see [`Directory::digest`](crate::Directory::digest).
        digest: u64,
    },
    /// Full member list of the sender.
    Members {
        /// All known members, including dead ones.
        members: Vec<Member>,
        /// Whether the receiver should reply with its own list.
        wants_reply: bool,
    },
    /// Announces a new configuration; its generation is in the envelope.
    NewGeneration,
}

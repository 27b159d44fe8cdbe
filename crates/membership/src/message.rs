//! Messages of the membership protocol.

use sumacdrift_types::{Generation, NodeId};

use crate::Member;

/// A message with what every message carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The sender's own entry, which makes the sender known and shows its life.
    pub sender: Member,
    /// The generation of the configuration in force at the sender.
    pub generation: Generation,
    /// News about other members.
    pub news: Vec<Member>,
    /// The message.
    pub packet: Packet,
}

/// A message of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Packet {
    /// Are you there?
    Probe {
        /// Comes back in the answer.
        sequence: u64,
    },
    /// I am here.
    Answer {
        /// From the probe.
        sequence: u64,
    },
    /// Please probe a third node for me.
    ProbeRequest {
        /// Comes back in the relayed answer.
        sequence: u64,
        /// Whom to probe.
        target: NodeId,
    },
    /// A third node answered the probe that you asked for.
    RelayedAnswer {
        /// From the request.
        sequence: u64,
    },
    /// Here is a digest of all that I know; send me what differs.
    Exchange {
        /// Digest over all members known.
        digest: u64,
    },
    /// Here is all that I know.
    Members {
        /// Every member known.
        members: Vec<Member>,
        /// Whether the receiver shall answer with all that it knows.
        wants_reply: bool,
    },
    /// There is a newer configuration at the sender.
    NewGeneration,
}

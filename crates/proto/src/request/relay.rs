//! A question that is passed on to another node for one that does not reach it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::wire::{DecodeError, Wire};

/// A question that is passed on; the bytes are a message of the crate that asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayedQuestion {
    /// To a replica of the program ledger.
    Ledger(Bytes),
    /// To a feed, for what its follower does not know yet.
    Follow(Bytes),
}

/// A question to a member of one of the ledger's groups, by way of the node that gets this.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Who is to answer. The node in between asks it directly: there is no further hop.
    pub to: SocketAddr,
    /// How long the answer is waited for.
    pub within: Duration,
    /// The question.
    pub question: RelayedQuestion,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayMessage {
    #[prost(string, tag = "1")]
    pub to: String,
    #[prost(uint64, tag = "2")]
    pub within_millis: u64,
    #[prost(bytes = "bytes", tag = "3")]
    pub ledger: Bytes,
    /// A question to a feed, in place of one to the ledger.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub follow: Option<Bytes>,
}

impl Wire for Relay {
    type Message = RelayMessage;

    fn to_wire(&self) -> RelayMessage {
        let (ledger, follow) = match &self.question {
            RelayedQuestion::Ledger(question) => (question.clone(), None),
            RelayedQuestion::Follow(question) => (Bytes::new(), Some(question.clone())),
        };
        RelayMessage {
            to: self.to.to_string(),
            within_millis: u64::try_from(self.within.as_millis()).unwrap_or(u64::MAX),
            ledger,
            follow,
        }
    }

    fn from_wire(message: RelayMessage) -> Result<Self, DecodeError> {
        let to = message.to.parse().map_err(|_| DecodeError::Invalid("to"))?;
        let question = match message.follow {
            Some(question) => RelayedQuestion::Follow(question),
            None => RelayedQuestion::Ledger(message.ledger),
        };
        Ok(Relay { to, within: Duration::from_millis(message.within_millis), question })
    }
}

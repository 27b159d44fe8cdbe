//! Requests forwarded by an intermediate node when the sender can't reach the target.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::wire::{DecodeError, Wire};

/// A forwarded request; the bytes are a message of the crate that sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayedQuestion {
    /// For a replica of the program ledger.
    Ledger(Bytes),
    /// For a feed: fetches changes after the follower's position.
    Follow(Bytes),
}

/// Asks the receiver to forward a request to a member of one of the ledger's replica groups.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Relay {
    /// The target. The receiver contacts it directly; there is no further hop.
    pub to: SocketAddr,
    /// Timeout for the target's response.
    pub within: Duration,
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
    /// A request to a feed; if set, `ledger` is empty and ignored.
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

//! A question that is passed on to another node for one that does not reach it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::wire::{DecodeError, Wire};

/// A question to a replica of the program ledger, by way of the node that gets this.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Who is to answer. The node in between asks it directly: there is no further hop.
    pub to: SocketAddr,
    /// How long the answer is waited for.
    pub within: Duration,
    /// The question; the bytes are a message of the ledger crate.
    pub ledger: Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayMessage {
    #[prost(string, tag = "1")]
    pub to: String,
    #[prost(uint64, tag = "2")]
    pub within_millis: u64,
    #[prost(bytes = "bytes", tag = "3")]
    pub ledger: Bytes,
}

impl Wire for Relay {
    type Message = RelayMessage;

    fn to_wire(&self) -> RelayMessage {
        RelayMessage {
            to: self.to.to_string(),
            within_millis: u64::try_from(self.within.as_millis()).unwrap_or(u64::MAX),
            ledger: self.ledger.clone(),
        }
    }

    fn from_wire(message: RelayMessage) -> Result<Self, DecodeError> {
        let to = message.to.parse().map_err(|_| DecodeError::Invalid("to"))?;
        Ok(Relay { to, within: Duration::from_millis(message.within_millis), ledger: message.ledger })
    }
}

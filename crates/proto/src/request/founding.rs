//! The founding of a fleet on the wire.

use sumacdrift_replication::ReplicaId;
use sumacdrift_types::ZoneName;

use crate::replication::ReplicaMessage;
use crate::wire::{DecodeError, Wire, messages, name, required_value, values};

#[derive(Clone, PartialEq, prost::Message)]
pub struct FoundingMessage {
    #[prost(fixed64, tag = "1")]
    pub fleet: u64,
    #[prost(uint32, tag = "2")]
    pub shards: u32,
    #[prost(message, repeated, tag = "3")]
    pub founders: Vec<FounderMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct FounderMessage {
    #[prost(message, optional, tag = "1")]
    pub replica: Option<ReplicaMessage>,
    #[prost(string, tag = "2")]
    pub zone: String,
}

/// One life that founded the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Founder {
    /// The life.
    pub replica: ReplicaId,
    /// Its zone, by which the first replicas are spread.
    pub zone: ZoneName,
}

/// The founding of a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Founding {
    /// Number drawn at the founding, which tells one fleet from another.
    pub fleet: u64,
    /// Number of program shards.
    pub shards: u32,
    /// The lives that founded it.
    pub founders: Vec<Founder>,
}

impl Wire for Founder {
    type Message = FounderMessage;

    fn to_wire(&self) -> FounderMessage {
        FounderMessage { replica: Some(self.replica.to_wire()), zone: self.zone.to_string() }
    }

    fn from_wire(message: FounderMessage) -> Result<Self, DecodeError> {
        let zone = name(message.zone, "zone")?;
        Ok(Founder { replica: required_value(message.replica, "replica")?, zone })
    }
}

impl Wire for Founding {
    type Message = FoundingMessage;

    fn to_wire(&self) -> FoundingMessage {
        FoundingMessage { fleet: self.fleet, shards: self.shards, founders: messages(&self.founders) }
    }

    fn from_wire(message: FoundingMessage) -> Result<Self, DecodeError> {
        let founders = values(message.founders)?;
        Ok(Founding { fleet: message.fleet, shards: message.shards, founders })
    }
}

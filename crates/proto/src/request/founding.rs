//! The bootstrap record of a fleet.

use sumacdrift_replication::ReplicaId;
use sumacdrift_types::ZoneName;

use crate::replication::ReplicaMessage;
use crate::wire::{DecodeError, Wire, decode_list, decode_required, encode_list, parse_name};

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

/// A node incarnation that took part in bootstrapping the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Founder {
    pub replica: ReplicaId,
    /// Initial replicas are spread over zones.
    pub zone: ZoneName,
}

/// The bootstrap record of a fleet: its identity, shard count and initial nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Founding {
    /// Fleet id, drawn at random when the fleet is bootstrapped.
    pub fleet: u64,
    pub shards: u32,
    pub founders: Vec<Founder>,
}

impl Wire for Founder {
    type Message = FounderMessage;

    fn to_wire(&self) -> FounderMessage {
        FounderMessage { replica: Some(self.replica.to_wire()), zone: self.zone.to_string() }
    }

    fn from_wire(message: FounderMessage) -> Result<Self, DecodeError> {
        let zone = parse_name(message.zone, "zone")?;
        Ok(Founder { replica: decode_required(message.replica, "replica")?, zone })
    }
}

impl Wire for Founding {
    type Message = FoundingMessage;

    fn to_wire(&self) -> FoundingMessage {
        FoundingMessage { fleet: self.fleet, shards: self.shards, founders: encode_list(&self.founders) }
    }

    fn from_wire(message: FoundingMessage) -> Result<Self, DecodeError> {
        let founders = decode_list(message.founders)?;
        Ok(Founding { fleet: message.fleet, shards: message.shards, founders })
    }
}

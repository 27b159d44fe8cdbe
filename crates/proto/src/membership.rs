//! Messages of the membership protocol.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use sumacdrift_membership::{Envelope, Member, MemberState, Packet, RoleSet};
use sumacdrift_types::{Generation, Incarnation, NodeId};

use crate::entry::EmptyMessage;
use crate::wire::{DecodeError, Wire, decode_list, decode_required, encode_list, parse_name, require_field};

#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberMessage {
    #[prost(uint32, tag = "1")]
    pub node: u32,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub refutation: u64,
    /// 0 alive, 1 suspect, 2 dead.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    #[prost(bool, tag = "5")]
    pub is_leaving: bool,
    /// 4 bytes for IPv4, 16 for IPv6.
    #[prost(bytes = "vec", tag = "6")]
    pub ip: Vec<u8>,
    #[prost(uint32, tag = "7")]
    pub port: u32,
    #[prost(string, tag = "8")]
    pub region: String,
    #[prost(string, tag = "9")]
    pub zone: String,
    #[prost(uint32, tag = "10")]
    pub roles: u32,
}

fn encode_ip(address: &SocketAddr) -> Vec<u8> {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    }
}

fn decode_ip(bytes: &[u8]) -> Result<IpAddr, DecodeError> {
    if let Ok(octets) = <[u8; 4]>::try_from(bytes) {
        return Ok(IpAddr::V4(Ipv4Addr::from(octets)));
    }
    let octets = <[u8; 16]>::try_from(bytes).map_err(|_| DecodeError::Invalid("ip"))?;
    Ok(IpAddr::V6(Ipv6Addr::from(octets)))
}

impl Wire for Member {
    type Message = MemberMessage;

    fn to_wire(&self) -> MemberMessage {
        MemberMessage {
            node: self.node.0,
            incarnation: self.incarnation.0,
            refutation: self.refutation,
            state: self.state as u32,
            is_leaving: self.is_leaving,
            ip: encode_ip(&self.address),
            port: u32::from(self.address.port()),
            region: self.region.to_string(),
            zone: self.zone.to_string(),
            roles: self.roles.0,
        }
    }

    fn from_wire(message: MemberMessage) -> Result<Self, DecodeError> {
        let state = match message.state {
            0 => MemberState::Alive,
            1 => MemberState::Suspect,
            2 => MemberState::Dead,
            _ => return Err(DecodeError::Invalid("state")),
        };
        let port = u16::try_from(message.port).map_err(|_| DecodeError::Invalid("port"))?;
        Ok(Member {
            node: NodeId(message.node),
            incarnation: Incarnation(message.incarnation),
            refutation: message.refutation,
            state,
            is_leaving: message.is_leaving,
            address: SocketAddr::new(decode_ip(&message.ip)?, port),
            region: parse_name(message.region, "region")?,
            zone: parse_name(message.zone, "zone")?,
            roles: RoleSet(message.roles),
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct EnvelopeMessage {
    #[prost(message, optional, tag = "1")]
    pub sender: Option<MemberMessage>,
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    #[prost(message, repeated, tag = "3")]
    pub updates: Vec<MemberMessage>,
    #[prost(oneof = "PacketKind", tags = "4, 5, 6, 7, 8, 9, 10")]
    pub packet: Option<PacketKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PacketKind {
    #[prost(uint64, tag = "4")]
    Probe(u64),
    #[prost(uint64, tag = "5")]
    Answer(u64),
    #[prost(message, tag = "6")]
    ProbeRequest(ProbeRequestMessage),
    #[prost(uint64, tag = "7")]
    RelayedAnswer(u64),
    #[prost(fixed64, tag = "8")]
    Exchange(u64),
    #[prost(message, tag = "9")]
    Members(MembersMessage),
    #[prost(message, tag = "10")]
    NewGeneration(EmptyMessage),
}

#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ProbeRequestMessage {
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    #[prost(uint32, tag = "2")]
    pub target: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct MembersMessage {
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberMessage>,
    #[prost(bool, tag = "2")]
    pub wants_reply: bool,
}

impl Wire for Envelope {
    type Message = EnvelopeMessage;

    fn to_wire(&self) -> EnvelopeMessage {
        EnvelopeMessage {
            sender: Some(self.sender.to_wire()),
            generation: self.generation.0,
            updates: encode_list(&self.updates),
            packet: Some(encode_packet(&self.packet)),
        }
    }

    fn from_wire(message: EnvelopeMessage) -> Result<Self, DecodeError> {
        Ok(Envelope {
            sender: decode_required(message.sender, "sender")?,
            generation: Generation(message.generation),
            updates: decode_list(message.updates)?,
            packet: decode_packet(require_field(message.packet, "packet")?)?,
        })
    }
}

fn encode_packet(packet: &Packet) -> PacketKind {
    match packet {
        Packet::Probe { sequence } => PacketKind::Probe(*sequence),
        Packet::Ack { sequence } => PacketKind::Answer(*sequence),
        Packet::ProbeRequest { sequence, target } => {
            PacketKind::ProbeRequest(ProbeRequestMessage { sequence: *sequence, target: target.0 })
        }
        Packet::RelayedAck { sequence } => PacketKind::RelayedAnswer(*sequence),
        Packet::Exchange { digest } => PacketKind::Exchange(*digest),
        Packet::Members { members, wants_reply } => {
            PacketKind::Members(MembersMessage { members: encode_list(members), wants_reply: *wants_reply })
        }
        Packet::NewGeneration => PacketKind::NewGeneration(EmptyMessage {}),
    }
}

fn decode_packet(kind: PacketKind) -> Result<Packet, DecodeError> {
    Ok(match kind {
        PacketKind::Probe(sequence) => Packet::Probe { sequence },
        PacketKind::Answer(sequence) => Packet::Ack { sequence },
        PacketKind::ProbeRequest(request) => {
            Packet::ProbeRequest { sequence: request.sequence, target: NodeId(request.target) }
        }
        PacketKind::RelayedAnswer(sequence) => Packet::RelayedAck { sequence },
        PacketKind::Exchange(digest) => Packet::Exchange { digest },
        PacketKind::Members(message) => {
            Packet::Members { members: decode_list(message.members)?, wants_reply: message.wants_reply }
        }
        PacketKind::NewGeneration(_) => Packet::NewGeneration,
    })
}

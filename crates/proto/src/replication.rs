//! Messages of the replication protocol between replicas.

use std::collections::BTreeMap;

use bytes::Bytes;
use sumacdrift_replication::{
    AppendEntries, AppendReply, Configuration, InstallSnapshot, LogEntry, Message, Payload, ReplicaId,
    VoteReply, VoteRequest,
};
use sumacdrift_types::{Incarnation, NodeId};

use crate::entry::EmptyMessage;
use crate::wire::{DecodeError, Wire, decode_list, decode_required, encode_list, require_field};

#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ReplicaMessage {
    #[prost(uint32, tag = "1")]
    pub node: u32,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

impl Wire for ReplicaId {
    type Message = ReplicaMessage;

    fn to_wire(&self) -> ReplicaMessage {
        ReplicaMessage { node: self.node.0, incarnation: self.incarnation.0 }
    }

    fn from_wire(message: ReplicaMessage) -> Result<Self, DecodeError> {
        let incarnation = Incarnation(message.incarnation);
        Ok(ReplicaId { node: NodeId(message.node), incarnation })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationMessage {
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<ReplicaMessage>,
    #[prost(message, repeated, tag = "2")]
    pub learners: Vec<ReplicaMessage>,
    #[prost(message, repeated, tag = "3")]
    pub added: Vec<AddedMessage>,
}

#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AddedMessage {
    #[prost(message, optional, tag = "1")]
    pub replica: Option<ReplicaMessage>,
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

impl Wire for Configuration {
    type Message = ConfigurationMessage;

    fn to_wire(&self) -> ConfigurationMessage {
        let added = self.added.iter();
        ConfigurationMessage {
            voters: encode_list(&self.voters),
            learners: encode_list(&self.learners),
            added: added
                .map(|(replica, index)| AddedMessage { replica: Some(replica.to_wire()), index: *index })
                .collect(),
        }
    }

    fn from_wire(message: ConfigurationMessage) -> Result<Self, DecodeError> {
        let mut added = BTreeMap::new();
        for addition in message.added {
            added.insert(decode_required(addition.replica, "replica")?, addition.index);
        }
        Ok(Configuration {
            voters: decode_list(message.voters)?.into_iter().collect(),
            learners: decode_list(message.learners)?.into_iter().collect(),
            added,
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct LogEntryMessage {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(oneof = "PayloadKind", tags = "3, 4, 5")]
    pub payload: Option<PayloadKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PayloadKind {
    #[prost(message, tag = "3")]
    LeaderStarted(EmptyMessage),
    #[prost(bytes = "bytes", tag = "4")]
    Command(Bytes),
    #[prost(message, tag = "5")]
    Configuration(ConfigurationMessage),
}

impl Wire for LogEntry {
    type Message = LogEntryMessage;

    fn to_wire(&self) -> LogEntryMessage {
        let payload = match &self.payload {
            Payload::LeaderStarted => PayloadKind::LeaderStarted(EmptyMessage {}),
            Payload::Command(bytes) => PayloadKind::Command(bytes.clone()),
            Payload::Configuration(configuration) => PayloadKind::Configuration(configuration.to_wire()),
        };
        LogEntryMessage { index: self.index, term: self.term, payload: Some(payload) }
    }

    fn from_wire(message: LogEntryMessage) -> Result<Self, DecodeError> {
        let payload = match require_field(message.payload, "payload")? {
            PayloadKind::LeaderStarted(_) => Payload::LeaderStarted,
            PayloadKind::Command(bytes) => Payload::Command(bytes),
            PayloadKind::Configuration(message) => Payload::Configuration(Wire::from_wire(message)?),
        };
        Ok(LogEntry { index: message.index, term: message.term, payload })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicationMessage {
    #[prost(oneof = "ReplicationKind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub kind: Option<ReplicationKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ReplicationKind {
    #[prost(message, tag = "1")]
    VoteRequest(VoteRequestMessage),
    #[prost(message, tag = "2")]
    VoteReply(VoteReplyMessage),
    #[prost(message, tag = "3")]
    AppendEntries(AppendEntriesMessage),
    #[prost(message, tag = "4")]
    AppendReply(AppendReplyMessage),
    #[prost(message, tag = "5")]
    InstallSnapshot(InstallSnapshotMessage),
    #[prost(uint64, tag = "6")]
    TimeoutNow(u64),
    #[prost(message, tag = "7")]
    NotMember(NotMemberMessage),
}

#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct NotMemberMessage {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct VoteRequestMessage {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    #[prost(bool, tag = "4")]
    pub is_pre_vote: bool,
    #[prost(bool, tag = "5")]
    pub is_transfer: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct VoteReplyMessage {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(bool, tag = "2")]
    pub is_granted: bool,
    #[prost(bool, tag = "3")]
    pub is_pre_vote: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendEntriesMessage {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub previous_index: u64,
    #[prost(uint64, tag = "3")]
    pub previous_term: u64,
    #[prost(uint64, tag = "4")]
    pub committed: u64,
    #[prost(uint64, tag = "5")]
    pub sent_at_micros: u64,
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<LogEntryMessage>,
    #[prost(uint64, tag = "7")]
    pub membership: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendReplyMessage {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(bool, tag = "2")]
    pub is_success: bool,
    #[prost(uint64, tag = "3")]
    pub match_index: u64,
    #[prost(uint64, tag = "4")]
    pub sent_at_micros: u64,
    #[prost(uint64, tag = "5")]
    pub membership: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct InstallSnapshotMessage {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub index: u64,
    #[prost(uint64, tag = "3")]
    pub index_term: u64,
    #[prost(message, optional, tag = "4")]
    pub configuration: Option<ConfigurationMessage>,
    #[prost(uint64, tag = "5")]
    pub sent_at_micros: u64,
    #[prost(bytes = "bytes", tag = "6")]
    pub data: Bytes,
    #[prost(uint64, tag = "7")]
    pub membership: u64,
}

impl Wire for Message {
    type Message = ReplicationMessage;

    fn to_wire(&self) -> ReplicationMessage {
        let kind = match self {
            Message::VoteRequest(request) => ReplicationKind::VoteRequest(VoteRequestMessage {
                term: request.term,
                last_index: request.last_index,
                last_term: request.last_term,
                is_pre_vote: request.is_pre_vote,
                is_transfer: request.is_transfer,
            }),
            Message::VoteReply(reply) => ReplicationKind::VoteReply(VoteReplyMessage {
                term: reply.term,
                is_granted: reply.is_granted,
                is_pre_vote: reply.is_pre_vote,
            }),
            Message::AppendEntries(append) => ReplicationKind::AppendEntries(AppendEntriesMessage {
                term: append.term,
                previous_index: append.previous_index,
                previous_term: append.previous_term,
                membership: append.membership,
                committed: append.committed,
                sent_at_micros: append.sent_at_micros,
                entries: encode_list(&append.entries),
            }),
            Message::AppendReply(reply) => ReplicationKind::AppendReply(AppendReplyMessage {
                term: reply.term,
                is_success: reply.is_success,
                match_index: reply.match_index,
                membership: reply.membership,
                sent_at_micros: reply.sent_at_micros,
            }),
            Message::InstallSnapshot(snapshot) => ReplicationKind::InstallSnapshot(encode_snapshot(snapshot)),
            Message::TimeoutNow { term } => ReplicationKind::TimeoutNow(*term),
            Message::NotMember { term, last_index } => {
                ReplicationKind::NotMember(NotMemberMessage { term: *term, last_index: *last_index })
            }
        };
        ReplicationMessage { kind: Some(kind) }
    }

    fn from_wire(message: ReplicationMessage) -> Result<Self, DecodeError> {
        Ok(match require_field(message.kind, "kind")? {
            ReplicationKind::VoteRequest(request) => Message::VoteRequest(VoteRequest {
                term: request.term,
                last_index: request.last_index,
                last_term: request.last_term,
                is_pre_vote: request.is_pre_vote,
                is_transfer: request.is_transfer,
            }),
            ReplicationKind::VoteReply(reply) => Message::VoteReply(VoteReply {
                term: reply.term,
                is_granted: reply.is_granted,
                is_pre_vote: reply.is_pre_vote,
            }),
            ReplicationKind::AppendEntries(append) => Message::AppendEntries(AppendEntries {
                term: append.term,
                previous_index: append.previous_index,
                previous_term: append.previous_term,
                membership: append.membership,
                committed: append.committed,
                sent_at_micros: append.sent_at_micros,
                entries: decode_list(append.entries)?,
            }),
            ReplicationKind::AppendReply(reply) => Message::AppendReply(AppendReply {
                term: reply.term,
                is_success: reply.is_success,
                match_index: reply.match_index,
                membership: reply.membership,
                sent_at_micros: reply.sent_at_micros,
            }),
            ReplicationKind::InstallSnapshot(snapshot) => Message::InstallSnapshot(InstallSnapshot {
                term: snapshot.term,
                index: snapshot.index,
                index_term: snapshot.index_term,
                configuration: decode_required(snapshot.configuration, "configuration")?,
                membership: snapshot.membership,
                sent_at_micros: snapshot.sent_at_micros,
                data: snapshot.data,
            }),
            ReplicationKind::TimeoutNow(term) => Message::TimeoutNow { term },
            ReplicationKind::NotMember(message) => {
                Message::NotMember { term: message.term, last_index: message.last_index }
            }
        })
    }
}

fn encode_snapshot(snapshot: &InstallSnapshot) -> InstallSnapshotMessage {
    InstallSnapshotMessage {
        term: snapshot.term,
        index: snapshot.index,
        index_term: snapshot.index_term,
        configuration: Some(snapshot.configuration.to_wire()),
        membership: snapshot.membership,
        sent_at_micros: snapshot.sent_at_micros,
        data: snapshot.data.clone(),
    }
}

//! Messages for entries of a program shard, as stored in its replicated log and snapshots.

use bytes::Bytes;
use prost::Message;
use sumacdrift_program::{
    Answer, EndReason, Entry, ProgramOpened, ServiceAccepted, TurnAbandoned, TurnAccepted, TurnCommitted,
};
use sumacdrift_types::{ChatMessage, Timestamp, TurnNumber};

use crate::basic::{
    CallMessage, LedgerKeyMessage, LimitsMessage, ReservationMessage, RunnerMessage, ServiceResponseMessage,
    UsageMessage, encode_timestamp,
};
use crate::wire::{
    DecodeError, Wire, decode_required, parse_name, parse_names, parse_optional_name, require_field,
    to_array, to_string_or_empty, to_strings,
};

#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryMessage {
    #[prost(oneof = "EntryKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub kind: Option<EntryKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum EntryKind {
    #[prost(message, tag = "1")]
    LeaderStarted(EmptyMessage),
    #[prost(message, tag = "2")]
    ProgramOpened(ProgramOpenedMessage),
    #[prost(message, tag = "3")]
    TurnAccepted(TurnAcceptedMessage),
    #[prost(message, tag = "4")]
    TurnCommitted(TurnCommittedMessage),
    #[prost(message, tag = "5")]
    TurnAbandoned(TurnAbandonedMessage),
    #[prost(message, tag = "6")]
    Charged(ChargedMessage),
    #[prost(message, tag = "7")]
    ChildGranted(ChildGrantedMessage),
    #[prost(message, tag = "8")]
    ChildReturned(ChildReturnedMessage),
    #[prost(message, tag = "9")]
    ProgramEnded(ProgramEndedMessage),
    #[prost(string, tag = "10")]
    ProgramForgotten(String),
    #[prost(message, tag = "11")]
    ServiceAccepted(ServiceAcceptedMessage),
    #[prost(message, tag = "12")]
    ServiceCommitted(ServiceSettledMessage),
    #[prost(message, tag = "13")]
    ServiceReleased(ServiceSettledMessage),
    #[prost(message, tag = "14")]
    ServiceUnknown(ServiceSettledMessage),
    #[prost(message, tag = "15")]
    ServiceForgotten(LedgerKeyMessage),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct EmptyMessage {}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ProgramOpenedMessage {
    #[prost(string, tag = "1")]
    pub program: String,
    #[prost(string, tag = "2")]
    pub tenant: String,
    #[prost(string, tag = "3")]
    pub parent: String,
    #[prost(message, optional, tag = "4")]
    pub limits: Option<LimitsMessage>,
    #[prost(uint64, tag = "5")]
    pub at_micros: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct TurnAcceptedMessage {
    #[prost(string, tag = "1")]
    pub program: String,
    #[prost(message, optional, tag = "2")]
    pub call: Option<CallMessage>,
    #[prost(uint32, tag = "3")]
    pub turn: u32,
    #[prost(string, tag = "4")]
    pub key: String,
    #[prost(string, repeated, tag = "5")]
    pub messages: Vec<String>,
    #[prost(message, optional, tag = "6")]
    pub reserved: Option<ReservationMessage>,
    #[prost(message, optional, tag = "7")]
    pub runner: Option<RunnerMessage>,
    #[prost(uint64, tag = "8")]
    pub give_up_at_micros: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct TurnCommittedMessage {
    #[prost(string, tag = "1")]
    pub program: String,
    #[prost(message, optional, tag = "2")]
    pub call: Option<CallMessage>,
    #[prost(message, optional, tag = "3")]
    pub answer: Option<AnswerMessage>,
    #[prost(message, optional, tag = "4")]
    pub usage: Option<UsageMessage>,
    #[prost(string, tag = "5")]
    pub engine: String,
    #[prost(string, repeated, tag = "6")]
    pub other_engines: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct AnswerMessage {
    #[prost(string, tag = "1")]
    pub message: String,
    #[prost(string, tag = "2")]
    pub finish_reason: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct TurnAbandonedMessage {
    #[prost(string, tag = "1")]
    pub program: String,
    #[prost(message, optional, tag = "2")]
    pub call: Option<CallMessage>,
    #[prost(uint64, tag = "3")]
    pub output_tokens: u64,
    #[prost(string, repeated, tag = "4")]
    pub engines: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ChargedMessage {
    #[prost(string, tag = "1")]
    pub program: String,
    #[prost(message, optional, tag = "2")]
    pub used: Option<ReservationMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ChildGrantedMessage {
    #[prost(string, tag = "1")]
    pub parent: String,
    #[prost(string, tag = "2")]
    pub child: String,
    #[prost(message, optional, tag = "3")]
    pub limits: Option<LimitsMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ChildReturnedMessage {
    #[prost(string, tag = "1")]
    pub parent: String,
    #[prost(string, tag = "2")]
    pub child: String,
    #[prost(message, optional, tag = "3")]
    pub unused: Option<ReservationMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ProgramEndedMessage {
    #[prost(string, tag = "1")]
    pub program: String,
    #[prost(uint32, tag = "2")]
    pub reason: u32,
    #[prost(uint64, tag = "3")]
    pub at_micros: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceAcceptedMessage {
    #[prost(message, optional, tag = "1")]
    pub key: Option<LedgerKeyMessage>,
    #[prost(bytes = "vec", tag = "2")]
    pub request: Vec<u8>,
    #[prost(message, optional, tag = "3")]
    pub call: Option<CallMessage>,
    #[prost(message, optional, tag = "4")]
    pub runner: Option<RunnerMessage>,
    #[prost(uint64, tag = "5")]
    pub give_up_at_micros: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceSettledMessage {
    #[prost(message, optional, tag = "1")]
    pub key: Option<LedgerKeyMessage>,
    #[prost(message, optional, tag = "2")]
    pub call: Option<CallMessage>,
    #[prost(message, optional, tag = "3")]
    pub response: Option<ServiceResponseMessage>,
    #[prost(uint64, tag = "4")]
    pub at_micros: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EntriesMessage {
    #[prost(message, repeated, tag = "1")]
    entries: Vec<EntryMessage>,
}

/// Serializes a log entry.
pub fn encode_entry(entry: &Entry) -> Bytes {
    entry.encode()
}

/// Deserializes a log entry.
pub fn decode_entry(bytes: Bytes) -> Result<Entry, DecodeError> {
    Entry::decode(bytes)
}

/// Serializes the entries of a snapshot.
pub fn encode_entries(entries: &[Entry]) -> Bytes {
    let message = EntriesMessage { entries: entries.iter().map(Entry::to_wire).collect() };
    Bytes::from(message.encode_to_vec())
}

/// Deserializes the entries of a snapshot.
pub fn decode_entries(bytes: Bytes) -> Result<Vec<Entry>, DecodeError> {
    let message = EntriesMessage::decode(bytes)?;
    message.entries.into_iter().map(Entry::from_wire).collect()
}

impl Wire for Answer {
    type Message = AnswerMessage;

    fn to_wire(&self) -> AnswerMessage {
        let message = self.message.canonical().to_owned();
        AnswerMessage { message, finish_reason: self.finish_reason.clone() }
    }

    fn from_wire(message: AnswerMessage) -> Result<Self, DecodeError> {
        let finish_reason = message.finish_reason;
        Ok(Answer { message: ChatMessage::from_canonical(message.message), finish_reason })
    }
}

/// Each message becomes its canonical JSON text.
pub(crate) fn encode_chat_messages(messages: &[ChatMessage]) -> Vec<String> {
    messages.iter().map(|message| message.canonical().to_owned()).collect()
}

/// Expects canonical JSON texts.
pub(crate) fn decode_chat_messages(texts: Vec<String>) -> Vec<ChatMessage> {
    texts.into_iter().map(ChatMessage::from_canonical).collect()
}

fn encode_end_reason(reason: EndReason) -> u32 {
    match reason {
        EndReason::Caller => 0,
        EndReason::LeaseExpired => 1,
        EndReason::ParentEnded => 2,
    }
}

fn decode_end_reason(field: u32) -> Result<EndReason, DecodeError> {
    match field {
        0 => Ok(EndReason::Caller),
        1 => Ok(EndReason::LeaseExpired),
        2 => Ok(EndReason::ParentEnded),
        _ => Err(DecodeError::Invalid("reason")),
    }
}

impl Wire for ProgramOpened {
    type Message = ProgramOpenedMessage;

    fn to_wire(&self) -> ProgramOpenedMessage {
        ProgramOpenedMessage {
            program: self.program.to_string(),
            tenant: self.tenant.to_string(),
            parent: to_string_or_empty(&self.parent),
            limits: Some(self.limits.to_wire()),
            at_micros: encode_timestamp(self.at),
        }
    }

    fn from_wire(message: ProgramOpenedMessage) -> Result<Self, DecodeError> {
        Ok(ProgramOpened {
            program: parse_name(message.program, "program")?,
            tenant: parse_name(message.tenant, "tenant")?,
            parent: parse_optional_name(message.parent, "parent")?,
            limits: decode_required(message.limits, "limits")?,
            at: Timestamp(message.at_micros),
        })
    }
}

impl Wire for TurnAccepted {
    type Message = TurnAcceptedMessage;

    fn to_wire(&self) -> TurnAcceptedMessage {
        TurnAcceptedMessage {
            program: self.program.to_string(),
            call: Some(self.call.to_wire()),
            turn: self.turn.0,
            key: to_string_or_empty(&self.key),
            messages: encode_chat_messages(&self.messages),
            reserved: Some(self.reserved.to_wire()),
            runner: Some(self.runner.to_wire()),
            give_up_at_micros: encode_timestamp(self.give_up_at),
        }
    }

    fn from_wire(message: TurnAcceptedMessage) -> Result<Self, DecodeError> {
        Ok(TurnAccepted {
            program: parse_name(message.program, "program")?,
            call: decode_required(message.call, "call")?,
            turn: TurnNumber(message.turn),
            key: parse_optional_name(message.key, "key")?,
            messages: decode_chat_messages(message.messages),
            reserved: decode_required(message.reserved, "reserved")?,
            runner: decode_required(message.runner, "runner")?,
            give_up_at: Timestamp(message.give_up_at_micros),
        })
    }
}

impl Wire for TurnCommitted {
    type Message = TurnCommittedMessage;

    fn to_wire(&self) -> TurnCommittedMessage {
        TurnCommittedMessage {
            program: self.program.to_string(),
            call: Some(self.call.to_wire()),
            answer: Some(self.answer.to_wire()),
            usage: Some(self.usage.to_wire()),
            engine: self.engine.to_string(),
            other_engines: to_strings(&self.other_engines),
        }
    }

    fn from_wire(message: TurnCommittedMessage) -> Result<Self, DecodeError> {
        Ok(TurnCommitted {
            program: parse_name(message.program, "program")?,
            call: decode_required(message.call, "call")?,
            answer: decode_required(message.answer, "answer")?,
            usage: decode_required(message.usage, "usage")?,
            engine: parse_name(message.engine, "engine")?,
            other_engines: parse_names(message.other_engines, "other_engines")?,
        })
    }
}

impl Wire for TurnAbandoned {
    type Message = TurnAbandonedMessage;

    fn to_wire(&self) -> TurnAbandonedMessage {
        TurnAbandonedMessage {
            program: self.program.to_string(),
            call: Some(self.call.to_wire()),
            output_tokens: self.output_tokens,
            engines: to_strings(&self.engines),
        }
    }

    fn from_wire(message: TurnAbandonedMessage) -> Result<Self, DecodeError> {
        Ok(TurnAbandoned {
            program: parse_name(message.program, "program")?,
            call: decode_required(message.call, "call")?,
            output_tokens: message.output_tokens,
            engines: parse_names(message.engines, "engines")?,
        })
    }
}

impl Wire for ServiceAccepted {
    type Message = ServiceAcceptedMessage;

    fn to_wire(&self) -> ServiceAcceptedMessage {
        ServiceAcceptedMessage {
            key: Some(self.key.to_wire()),
            request: self.request.to_vec(),
            call: Some(self.call.to_wire()),
            runner: Some(self.runner.to_wire()),
            give_up_at_micros: encode_timestamp(self.give_up_at),
        }
    }

    fn from_wire(message: ServiceAcceptedMessage) -> Result<Self, DecodeError> {
        Ok(ServiceAccepted {
            key: decode_required(message.key, "key")?,
            request: to_array(&message.request, "request")?,
            call: decode_required(message.call, "call")?,
            runner: decode_required(message.runner, "runner")?,
            give_up_at: Timestamp(message.give_up_at_micros),
        })
    }
}

impl Wire for Entry {
    type Message = EntryMessage;

    fn to_wire(&self) -> EntryMessage {
        EntryMessage { kind: Some(encode_entry_kind(self)) }
    }

    fn from_wire(message: EntryMessage) -> Result<Self, DecodeError> {
        decode_entry_kind(require_field(message.kind, "kind")?)
    }
}

fn encode_entry_kind(entry: &Entry) -> EntryKind {
    match entry {
        Entry::LeaderStarted => EntryKind::LeaderStarted(EmptyMessage {}),
        Entry::ProgramOpened(opened) => EntryKind::ProgramOpened(opened.to_wire()),
        Entry::TurnAccepted(accepted) => EntryKind::TurnAccepted(accepted.to_wire()),
        Entry::TurnCommitted(committed) => EntryKind::TurnCommitted(committed.to_wire()),
        Entry::TurnAbandoned(abandoned) => EntryKind::TurnAbandoned(abandoned.to_wire()),
        Entry::Charged { program, used } => {
            EntryKind::Charged(ChargedMessage { program: program.to_string(), used: Some(used.to_wire()) })
        }
        Entry::ChildGranted { parent, child, limits } => EntryKind::ChildGranted(ChildGrantedMessage {
            parent: parent.to_string(),
            child: child.to_string(),
            limits: Some(limits.to_wire()),
        }),
        Entry::ChildReturned { parent, child, unused } => EntryKind::ChildReturned(ChildReturnedMessage {
            parent: parent.to_string(),
            child: child.to_string(),
            unused: Some(unused.to_wire()),
        }),
        Entry::ProgramEnded { program, reason, at } => EntryKind::ProgramEnded(ProgramEndedMessage {
            program: program.to_string(),
            reason: encode_end_reason(*reason),
            at_micros: encode_timestamp(*at),
        }),
        Entry::ProgramForgotten { program } => EntryKind::ProgramForgotten(program.to_string()),
        Entry::ServiceAccepted(accepted) => EntryKind::ServiceAccepted(accepted.to_wire()),
        Entry::ServiceCommitted { key, call, response, at } => {
            EntryKind::ServiceCommitted(ServiceSettledMessage {
                key: Some(key.to_wire()),
                call: Some(call.to_wire()),
                response: Some(response.to_wire()),
                at_micros: encode_timestamp(*at),
            })
        }
        Entry::ServiceReleased { key, call } => EntryKind::ServiceReleased(ServiceSettledMessage {
            key: Some(key.to_wire()),
            call: Some(call.to_wire()),
            response: None,
            at_micros: 0,
        }),
        Entry::ServiceUnknown { key, call, at } => EntryKind::ServiceUnknown(ServiceSettledMessage {
            key: Some(key.to_wire()),
            call: Some(call.to_wire()),
            response: None,
            at_micros: encode_timestamp(*at),
        }),
        Entry::ServiceForgotten { key } => EntryKind::ServiceForgotten(key.to_wire()),
    }
}

fn decode_entry_kind(kind: EntryKind) -> Result<Entry, DecodeError> {
    Ok(match kind {
        EntryKind::LeaderStarted(_) => Entry::LeaderStarted,
        EntryKind::ProgramOpened(message) => Entry::ProgramOpened(ProgramOpened::from_wire(message)?),
        EntryKind::TurnAccepted(message) => Entry::TurnAccepted(Box::new(TurnAccepted::from_wire(message)?)),
        EntryKind::TurnCommitted(message) => {
            Entry::TurnCommitted(Box::new(TurnCommitted::from_wire(message)?))
        }
        EntryKind::TurnAbandoned(message) => Entry::TurnAbandoned(TurnAbandoned::from_wire(message)?),
        EntryKind::Charged(message) => Entry::Charged {
            program: parse_name(message.program, "program")?,
            used: decode_required(message.used, "used")?,
        },
        EntryKind::ChildGranted(message) => Entry::ChildGranted {
            parent: parse_name(message.parent, "parent")?,
            child: parse_name(message.child, "child")?,
            limits: decode_required(message.limits, "limits")?,
        },
        EntryKind::ChildReturned(message) => Entry::ChildReturned {
            parent: parse_name(message.parent, "parent")?,
            child: parse_name(message.child, "child")?,
            unused: decode_required(message.unused, "unused")?,
        },
        EntryKind::ProgramEnded(message) => Entry::ProgramEnded {
            program: parse_name(message.program, "program")?,
            reason: decode_end_reason(message.reason)?,
            at: Timestamp(message.at_micros),
        },
        EntryKind::ProgramForgotten(program) => {
            Entry::ProgramForgotten { program: parse_name(program, "program")? }
        }
        EntryKind::ServiceAccepted(message) => Entry::ServiceAccepted(ServiceAccepted::from_wire(message)?),
        EntryKind::ServiceCommitted(message) => Entry::ServiceCommitted {
            key: decode_required(message.key, "key")?,
            call: decode_required(message.call, "call")?,
            response: decode_required(message.response, "response")?,
            at: Timestamp(message.at_micros),
        },
        EntryKind::ServiceReleased(message) => Entry::ServiceReleased {
            key: decode_required(message.key, "key")?,
            call: decode_required(message.call, "call")?,
        },
        EntryKind::ServiceUnknown(message) => Entry::ServiceUnknown {
            key: decode_required(message.key, "key")?,
            call: decode_required(message.call, "call")?,
            at: Timestamp(message.at_micros),
        },
        EntryKind::ServiceForgotten(message) => Entry::ServiceForgotten { key: Wire::from_wire(message)? },
    })
}

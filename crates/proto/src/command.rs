//! Messages for commands to a shard's leader.

use std::time::Duration;

use sumacdrift_program::{BeginService, BeginTurn, Command, FinishTurn, GrantChild, KnownPrefix, Page};
use sumacdrift_types::{HistoryMode, PrefixDigest, Timestamp, TurnNumber};

use crate::basic::{
    CallMessage, LedgerKeyMessage, LimitsMessage, ReservationMessage, RunnerMessage, ServiceResponseMessage,
    UsageMessage, encode_timestamp, encode_turn,
};
use crate::entry::{AnswerMessage, decode_chat_messages, encode_chat_messages};
use crate::wire::{
    DecodeError, Wire, decode_required, parse_name, parse_names, parse_optional_name, require_field,
    to_array, to_string_or_empty, to_strings,
};

#[derive(Clone, PartialEq, prost::Message)]
pub struct CommandMessage {
    #[prost(oneof = "CommandKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub kind: Option<CommandKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum CommandKind {
    #[prost(message, tag = "1")]
    BeginTurn(BeginTurnMessage),
    #[prost(message, tag = "2")]
    FinishTurn(FinishTurnMessage),
    #[prost(message, tag = "3")]
    AbandonTurn(AbandonTurnMessage),
    #[prost(message, tag = "4")]
    ForgetWaiting(ProgramCallMessage),
    #[prost(message, tag = "5")]
    GrantChild(GrantChildMessage),
    #[prost(message, tag = "6")]
    ReturnChild(ReturnChildMessage),
    #[prost(message, tag = "7")]
    EndProgram(ProgramCallMessage),
    #[prost(message, tag = "8")]
    Describe(ProgramCallMessage),
    #[prost(message, tag = "9")]
    BeginService(BeginServiceMessage),
    #[prost(message, tag = "10")]
    FinishService(ServiceCallMessage),
    #[prost(message, tag = "11")]
    ReleaseService(ServiceCallMessage),
    #[prost(message, tag = "12")]
    LoseService(ServiceCallMessage),
    #[prost(message, tag = "13")]
    ListGone(ListGoneMessage),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ListGoneMessage {
    #[prost(message, optional, tag = "1")]
    pub call: Option<CallMessage>,
    #[prost(string, repeated, tag = "2")]
    pub programs: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct BeginTurnMessage {
    #[prost(message, optional, tag = "1")]
    pub call: Option<CallMessage>,
    #[prost(string, tag = "2")]
    pub program: String,
    #[prost(string, tag = "3")]
    pub tenant: String,
    #[prost(string, tag = "4")]
    pub parent: String,
    #[prost(uint32, optional, tag = "5")]
    pub turn: Option<u32>,
    #[prost(string, tag = "6")]
    pub key: String,
    #[prost(bool, tag = "7")]
    pub is_append: bool,
    #[prost(uint64, tag = "8")]
    pub known_length: u64,
    #[prost(bytes = "vec", tag = "9")]
    pub known_digest: Vec<u8>,
    #[prost(string, repeated, tag = "10")]
    pub messages: Vec<String>,
    #[prost(uint64, tag = "11")]
    pub wanted_output: u64,
    #[prost(message, optional, tag = "12")]
    pub limits: Option<LimitsMessage>,
    #[prost(message, optional, tag = "13")]
    pub runner: Option<RunnerMessage>,
    #[prost(uint64, tag = "14")]
    pub wait_until_micros: u64,
    #[prost(uint64, tag = "15")]
    pub run_limit_micros: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct FinishTurnMessage {
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
    #[prost(string, tag = "7")]
    pub reason: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct AbandonTurnMessage {
    #[prost(string, tag = "1")]
    pub program: String,
    #[prost(message, optional, tag = "2")]
    pub call: Option<CallMessage>,
    #[prost(uint64, tag = "3")]
    pub output_tokens: u64,
    #[prost(string, repeated, tag = "4")]
    pub engines: Vec<String>,
    #[prost(string, tag = "5")]
    pub reason: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ProgramCallMessage {
    #[prost(message, optional, tag = "1")]
    pub call: Option<CallMessage>,
    #[prost(string, tag = "2")]
    pub program: String,
    #[prost(string, tag = "3")]
    pub tenant: String,
    #[prost(uint64, tag = "4")]
    pub first_message: u64,
    #[prost(uint64, tag = "5")]
    pub messages: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GrantChildMessage {
    #[prost(message, optional, tag = "1")]
    pub call: Option<CallMessage>,
    #[prost(string, tag = "2")]
    pub parent: String,
    #[prost(string, tag = "3")]
    pub child: String,
    #[prost(string, tag = "4")]
    pub tenant: String,
    #[prost(uint64, tag = "5")]
    pub share_percent: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ReturnChildMessage {
    #[prost(string, tag = "1")]
    pub parent: String,
    #[prost(string, tag = "2")]
    pub child: String,
    #[prost(message, optional, tag = "3")]
    pub unused: Option<ReservationMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct BeginServiceMessage {
    #[prost(message, optional, tag = "1")]
    pub call: Option<CallMessage>,
    #[prost(message, optional, tag = "2")]
    pub key: Option<LedgerKeyMessage>,
    #[prost(bytes = "vec", tag = "3")]
    pub request: Vec<u8>,
    #[prost(message, optional, tag = "4")]
    pub runner: Option<RunnerMessage>,
    #[prost(uint64, tag = "5")]
    pub run_limit_micros: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceCallMessage {
    #[prost(message, optional, tag = "1")]
    pub key: Option<LedgerKeyMessage>,
    #[prost(message, optional, tag = "2")]
    pub call: Option<CallMessage>,
    #[prost(message, optional, tag = "3")]
    pub response: Option<ServiceResponseMessage>,
}

impl Wire for BeginTurn {
    type Message = BeginTurnMessage;

    fn to_wire(&self) -> BeginTurnMessage {
        BeginTurnMessage {
            call: Some(self.call.to_wire()),
            program: self.program.to_string(),
            tenant: self.tenant.to_string(),
            parent: to_string_or_empty(&self.parent),
            turn: encode_turn(self.turn),
            key: to_string_or_empty(&self.key),
            is_append: self.mode == HistoryMode::Append,
            known_length: self.known_prefix.length as u64,
            known_digest: self.known_prefix.digest.0.to_vec(),
            messages: encode_chat_messages(&self.messages),
            wanted_output: self.max_output_tokens,
            limits: Some(self.limits.to_wire()),
            runner: Some(self.runner.to_wire()),
            wait_until_micros: encode_timestamp(self.wait_deadline),
            run_limit_micros: self.run_timeout.as_micros() as u64,
        }
    }

    fn from_wire(message: BeginTurnMessage) -> Result<Self, DecodeError> {
        let digest = PrefixDigest(to_array(&message.known_digest, "known_digest")?);
        let mode = if message.is_append { HistoryMode::Append } else { HistoryMode::Full };
        Ok(BeginTurn {
            call: decode_required(message.call, "call")?,
            program: parse_name(message.program, "program")?,
            tenant: parse_name(message.tenant, "tenant")?,
            parent: parse_optional_name(message.parent, "parent")?,
            turn: message.turn.map(TurnNumber),
            key: parse_optional_name(message.key, "key")?,
            mode,
            known_prefix: KnownPrefix { length: message.known_length as usize, digest },
            messages: decode_chat_messages(message.messages),
            max_output_tokens: message.wanted_output,
            limits: decode_required(message.limits, "limits")?,
            runner: decode_required(message.runner, "runner")?,
            wait_deadline: Timestamp(message.wait_until_micros),
            run_timeout: Duration::from_micros(message.run_limit_micros),
        })
    }
}

impl Wire for FinishTurn {
    type Message = FinishTurnMessage;

    fn to_wire(&self) -> FinishTurnMessage {
        FinishTurnMessage {
            program: self.program.to_string(),
            call: Some(self.call.to_wire()),
            answer: Some(self.answer.to_wire()),
            usage: Some(self.usage.to_wire()),
            engine: self.engine.to_string(),
            other_engines: to_strings(&self.other_engines),
            reason: self.reason.clone(),
        }
    }

    fn from_wire(message: FinishTurnMessage) -> Result<Self, DecodeError> {
        Ok(FinishTurn {
            program: parse_name(message.program, "program")?,
            call: decode_required(message.call, "call")?,
            answer: decode_required(message.answer, "answer")?,
            usage: decode_required(message.usage, "usage")?,
            engine: parse_name(message.engine, "engine")?,
            other_engines: parse_names(message.other_engines, "other_engines")?,
            reason: message.reason,
        })
    }
}

impl Wire for Command {
    type Message = CommandMessage;

    fn to_wire(&self) -> CommandMessage {
        CommandMessage { kind: Some(encode_command(self)) }
    }

    fn from_wire(message: CommandMessage) -> Result<Self, DecodeError> {
        decode_command(require_field(message.kind, "kind")?)
    }
}

fn encode_service_call(
    key: &sumacdrift_program::LedgerKey,
    call: &sumacdrift_types::CallId,
    response: Option<ServiceResponseMessage>,
) -> ServiceCallMessage {
    ServiceCallMessage { key: Some(key.to_wire()), call: Some(call.to_wire()), response }
}

fn encode_command(command: &Command) -> CommandKind {
    match command {
        Command::BeginTurn(begin) => CommandKind::BeginTurn(begin.to_wire()),
        Command::FinishTurn(finish) => CommandKind::FinishTurn(finish.to_wire()),
        Command::AbandonTurn { program, call, output_tokens, engines, reason } => {
            CommandKind::AbandonTurn(AbandonTurnMessage {
                program: program.to_string(),
                call: Some(call.to_wire()),
                output_tokens: *output_tokens,
                engines: to_strings(engines),
                reason: reason.clone(),
            })
        }
        Command::CancelWaiting { program, call } => CommandKind::ForgetWaiting(ProgramCallMessage {
            call: Some(call.to_wire()),
            program: program.to_string(),
            ..Default::default()
        }),
        Command::GrantChild(grant) => CommandKind::GrantChild(GrantChildMessage {
            call: Some(grant.call.to_wire()),
            parent: grant.parent.to_string(),
            child: grant.child.to_string(),
            tenant: grant.tenant.to_string(),
            share_percent: grant.share_percent,
        }),
        Command::ReturnChild { parent, child, unused } => CommandKind::ReturnChild(ReturnChildMessage {
            parent: parent.to_string(),
            child: child.to_string(),
            unused: Some(unused.to_wire()),
        }),
        Command::EndProgram { call, program, tenant } => CommandKind::EndProgram(ProgramCallMessage {
            call: Some(call.to_wire()),
            program: program.to_string(),
            tenant: to_string_or_empty(tenant),
            ..Default::default()
        }),
        Command::Describe { call, program, tenant, page } => CommandKind::Describe(ProgramCallMessage {
            call: Some(call.to_wire()),
            program: program.to_string(),
            tenant: tenant.to_string(),
            first_message: page.first_message as u64,
            messages: page.messages as u64,
        }),
        Command::ListEnded { call, programs } => CommandKind::ListGone(ListGoneMessage {
            call: Some(call.to_wire()),
            programs: to_strings(programs),
        }),
        Command::BeginService(begin) => CommandKind::BeginService(BeginServiceMessage {
            call: Some(begin.call.to_wire()),
            key: Some(begin.key.to_wire()),
            request: begin.request.to_vec(),
            runner: Some(begin.runner.to_wire()),
            run_limit_micros: begin.run_timeout.as_micros() as u64,
        }),
        Command::FinishService { key, call, response } => {
            CommandKind::FinishService(encode_service_call(key, call, Some(response.to_wire())))
        }
        Command::ReleaseService { key, call } => {
            CommandKind::ReleaseService(encode_service_call(key, call, None))
        }
        Command::MarkServiceUnknown { key, call } => {
            CommandKind::LoseService(encode_service_call(key, call, None))
        }
    }
}

fn decode_command(kind: CommandKind) -> Result<Command, DecodeError> {
    Ok(match kind {
        CommandKind::BeginTurn(message) => Command::BeginTurn(Box::new(BeginTurn::from_wire(message)?)),
        CommandKind::FinishTurn(message) => Command::FinishTurn(Box::new(FinishTurn::from_wire(message)?)),
        CommandKind::AbandonTurn(message) => Command::AbandonTurn {
            program: parse_name(message.program, "program")?,
            call: decode_required(message.call, "call")?,
            output_tokens: message.output_tokens,
            engines: parse_names(message.engines, "engines")?,
            reason: message.reason,
        },
        CommandKind::ForgetWaiting(message) => Command::CancelWaiting {
            program: parse_name(message.program, "program")?,
            call: decode_required(message.call, "call")?,
        },
        CommandKind::GrantChild(message) => Command::GrantChild(GrantChild {
            call: decode_required(message.call, "call")?,
            parent: parse_name(message.parent, "parent")?,
            child: parse_name(message.child, "child")?,
            tenant: parse_name(message.tenant, "tenant")?,
            share_percent: message.share_percent,
        }),
        CommandKind::ReturnChild(message) => Command::ReturnChild {
            parent: parse_name(message.parent, "parent")?,
            child: parse_name(message.child, "child")?,
            unused: decode_required(message.unused, "unused")?,
        },
        CommandKind::EndProgram(message) => Command::EndProgram {
            call: decode_required(message.call, "call")?,
            program: parse_name(message.program, "program")?,
            tenant: parse_optional_name(message.tenant, "tenant")?,
        },
        CommandKind::Describe(message) => Command::Describe {
            call: decode_required(message.call, "call")?,
            program: parse_name(message.program, "program")?,
            tenant: parse_name(message.tenant, "tenant")?,
            page: Page { first_message: message.first_message as usize, messages: message.messages as usize },
        },
        CommandKind::ListGone(message) => Command::ListEnded {
            call: decode_required(message.call, "call")?,
            programs: parse_names(message.programs, "programs")?,
        },
        CommandKind::BeginService(message) => Command::BeginService(BeginService {
            call: decode_required(message.call, "call")?,
            key: decode_required(message.key, "key")?,
            request: to_array(&message.request, "request")?,
            runner: decode_required(message.runner, "runner")?,
            run_timeout: Duration::from_micros(message.run_limit_micros),
        }),
        CommandKind::FinishService(message) => Command::FinishService {
            key: decode_required(message.key, "key")?,
            call: decode_required(message.call, "call")?,
            response: decode_required(message.response, "response")?,
        },
        CommandKind::ReleaseService(message) => Command::ReleaseService {
            key: decode_required(message.key, "key")?,
            call: decode_required(message.call, "call")?,
        },
        CommandKind::LoseService(message) => Command::MarkServiceUnknown {
            key: decode_required(message.key, "key")?,
            call: decode_required(message.call, "call")?,
        },
    })
}

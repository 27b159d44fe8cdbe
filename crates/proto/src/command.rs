//! Messages for requests to a shard's leader.

use std::time::Duration;

use sumacdrift_program::{BeginService, BeginTurn, Command, FinishTurn, GrantChild, KnownPrefix, Page};
use sumacdrift_types::{HistoryMode, PrefixDigest, Timestamp, TurnNumber};

use crate::basic::{
    CallMessage, LedgerKeyMessage, LimitsMessage, ReservationMessage, RunnerMessage, ServiceResponseMessage,
    UsageMessage, time_field, turn_field,
};
use crate::entry::{AnswerMessage, chat_messages, chat_texts};
use crate::wire::{
    DecodeError, Wire, fixed, name, names, optional_name, required, required_value, text_or_empty, texts,
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
            parent: text_or_empty(&self.parent),
            turn: turn_field(self.turn),
            key: text_or_empty(&self.key),
            is_append: self.mode == HistoryMode::Append,
            known_length: self.known_prefix.length as u64,
            known_digest: self.known_prefix.digest.0.to_vec(),
            messages: chat_texts(&self.messages),
            wanted_output: self.max_output_tokens,
            limits: Some(self.limits.to_wire()),
            runner: Some(self.runner.to_wire()),
            wait_until_micros: time_field(self.wait_deadline),
            run_limit_micros: self.run_timeout.as_micros() as u64,
        }
    }

    fn from_wire(message: BeginTurnMessage) -> Result<Self, DecodeError> {
        let digest = PrefixDigest(fixed(&message.known_digest, "known_digest")?);
        let mode = if message.is_append { HistoryMode::Append } else { HistoryMode::Full };
        Ok(BeginTurn {
            call: required_value(message.call, "call")?,
            program: name(message.program, "program")?,
            tenant: name(message.tenant, "tenant")?,
            parent: optional_name(message.parent, "parent")?,
            turn: message.turn.map(TurnNumber),
            key: optional_name(message.key, "key")?,
            mode,
            known_prefix: KnownPrefix { length: message.known_length as usize, digest },
            messages: chat_messages(message.messages),
            max_output_tokens: message.wanted_output,
            limits: required_value(message.limits, "limits")?,
            runner: required_value(message.runner, "runner")?,
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
            other_engines: texts(&self.other_engines),
            reason: self.reason.clone(),
        }
    }

    fn from_wire(message: FinishTurnMessage) -> Result<Self, DecodeError> {
        Ok(FinishTurn {
            program: name(message.program, "program")?,
            call: required_value(message.call, "call")?,
            answer: required_value(message.answer, "answer")?,
            usage: required_value(message.usage, "usage")?,
            engine: name(message.engine, "engine")?,
            other_engines: names(message.other_engines, "other_engines")?,
            reason: message.reason,
        })
    }
}

impl Wire for Command {
    type Message = CommandMessage;

    fn to_wire(&self) -> CommandMessage {
        CommandMessage { kind: Some(command_kind(self)) }
    }

    fn from_wire(message: CommandMessage) -> Result<Self, DecodeError> {
        command_value(required(message.kind, "kind")?)
    }
}

fn service_call(
    key: &sumacdrift_program::LedgerKey,
    call: &sumacdrift_types::CallId,
    response: Option<ServiceResponseMessage>,
) -> ServiceCallMessage {
    ServiceCallMessage { key: Some(key.to_wire()), call: Some(call.to_wire()), response }
}

fn command_kind(command: &Command) -> CommandKind {
    match command {
        Command::BeginTurn(begin) => CommandKind::BeginTurn(begin.to_wire()),
        Command::FinishTurn(finish) => CommandKind::FinishTurn(finish.to_wire()),
        Command::AbandonTurn { program, call, output_tokens, engines, reason } => {
            CommandKind::AbandonTurn(AbandonTurnMessage {
                program: program.to_string(),
                call: Some(call.to_wire()),
                output_tokens: *output_tokens,
                engines: texts(engines),
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
            tenant: text_or_empty(tenant),
            ..Default::default()
        }),
        Command::Describe { call, program, tenant, page } => CommandKind::Describe(ProgramCallMessage {
            call: Some(call.to_wire()),
            program: program.to_string(),
            tenant: tenant.to_string(),
            first_message: page.first_message as u64,
            messages: page.messages as u64,
        }),
        Command::ListEnded { call, programs } => {
            CommandKind::ListGone(ListGoneMessage { call: Some(call.to_wire()), programs: texts(programs) })
        }
        Command::BeginService(begin) => CommandKind::BeginService(BeginServiceMessage {
            call: Some(begin.call.to_wire()),
            key: Some(begin.key.to_wire()),
            request: begin.request.to_vec(),
            runner: Some(begin.runner.to_wire()),
            run_limit_micros: begin.run_timeout.as_micros() as u64,
        }),
        Command::FinishService { key, call, response } => {
            CommandKind::FinishService(service_call(key, call, Some(response.to_wire())))
        }
        Command::ReleaseService { key, call } => CommandKind::ReleaseService(service_call(key, call, None)),
        Command::MarkServiceUnknown { key, call } => CommandKind::LoseService(service_call(key, call, None)),
    }
}

fn command_value(kind: CommandKind) -> Result<Command, DecodeError> {
    Ok(match kind {
        CommandKind::BeginTurn(message) => Command::BeginTurn(Box::new(BeginTurn::from_wire(message)?)),
        CommandKind::FinishTurn(message) => Command::FinishTurn(Box::new(FinishTurn::from_wire(message)?)),
        CommandKind::AbandonTurn(message) => Command::AbandonTurn {
            program: name(message.program, "program")?,
            call: required_value(message.call, "call")?,
            output_tokens: message.output_tokens,
            engines: names(message.engines, "engines")?,
            reason: message.reason,
        },
        CommandKind::ForgetWaiting(message) => Command::CancelWaiting {
            program: name(message.program, "program")?,
            call: required_value(message.call, "call")?,
        },
        CommandKind::GrantChild(message) => Command::GrantChild(GrantChild {
            call: required_value(message.call, "call")?,
            parent: name(message.parent, "parent")?,
            child: name(message.child, "child")?,
            tenant: name(message.tenant, "tenant")?,
            share_percent: message.share_percent,
        }),
        CommandKind::ReturnChild(message) => Command::ReturnChild {
            parent: name(message.parent, "parent")?,
            child: name(message.child, "child")?,
            unused: required_value(message.unused, "unused")?,
        },
        CommandKind::EndProgram(message) => Command::EndProgram {
            call: required_value(message.call, "call")?,
            program: name(message.program, "program")?,
            tenant: optional_name(message.tenant, "tenant")?,
        },
        CommandKind::Describe(message) => Command::Describe {
            call: required_value(message.call, "call")?,
            program: name(message.program, "program")?,
            tenant: name(message.tenant, "tenant")?,
            page: Page { first_message: message.first_message as usize, messages: message.messages as usize },
        },
        CommandKind::ListGone(message) => Command::ListEnded {
            call: required_value(message.call, "call")?,
            programs: names(message.programs, "programs")?,
        },
        CommandKind::BeginService(message) => Command::BeginService(BeginService {
            call: required_value(message.call, "call")?,
            key: required_value(message.key, "key")?,
            request: fixed(&message.request, "request")?,
            runner: required_value(message.runner, "runner")?,
            run_timeout: Duration::from_micros(message.run_limit_micros),
        }),
        CommandKind::FinishService(message) => Command::FinishService {
            key: required_value(message.key, "key")?,
            call: required_value(message.call, "call")?,
            response: required_value(message.response, "response")?,
        },
        CommandKind::ReleaseService(message) => Command::ReleaseService {
            key: required_value(message.key, "key")?,
            call: required_value(message.call, "call")?,
        },
        CommandKind::LoseService(message) => Command::MarkServiceUnknown {
            key: required_value(message.key, "key")?,
            call: required_value(message.call, "call")?,
        },
    })
}

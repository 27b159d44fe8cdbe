//! Messages for replies of a shard's leader.

use sumacdrift_program::{
    Budget, BudgetSpent, Decision, DecisionKind, EndReason, ProgramReport, RecordedAnswer, Reply, RunTurn,
};
use sumacdrift_types::{Timestamp, TurnNumber};

use crate::basic::{
    CallMessage, LimitsMessage, ProblemMessage, ReservationMessage, ServiceResponseMessage, UsageMessage,
    encode_timestamp, encode_turn,
};
use crate::entry::{AnswerMessage, EmptyMessage, decode_chat_messages, encode_chat_messages};
use crate::wire::{
    DecodeError, Wire, decode_list, decode_optional, decode_required, encode_list, parse_name, parse_names,
    parse_optional_name, require_field, to_string_or_empty, to_strings,
};

#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplyMessage {
    #[prost(oneof = "ReplyKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub kind: Option<ReplyKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ReplyKind {
    #[prost(message, tag = "1")]
    Run(RunTurnMessage),
    #[prost(message, tag = "2")]
    Replay(RecordedAnswerMessage),
    #[prost(message, tag = "3")]
    SendAllMessages(EmptyMessage),
    #[prost(message, tag = "4")]
    Refused(ProblemMessage),
    #[prost(message, tag = "5")]
    Done(EmptyMessage),
    #[prost(message, tag = "6")]
    Granted(LimitsMessage),
    #[prost(message, tag = "7")]
    Report(Box<ProgramReportMessage>),
    #[prost(message, tag = "8")]
    RunService(EmptyMessage),
    #[prost(message, tag = "9")]
    ReplayService(ServiceResponseMessage),
    #[prost(message, tag = "10")]
    Gone(ProgramsMessage),
    #[prost(message, tag = "11")]
    Abandoned(EmptyMessage),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ProgramsMessage {
    #[prost(string, repeated, tag = "1")]
    pub programs: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RunTurnMessage {
    #[prost(uint32, tag = "1")]
    pub turn: u32,
    #[prost(string, repeated, tag = "2")]
    pub earlier_messages: Vec<String>,
    #[prost(uint64, tag = "3")]
    pub output_tokens: u64,
    #[prost(string, tag = "4")]
    pub last_engine: String,
    #[prost(uint64, tag = "5")]
    pub attained_tokens: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RecordedAnswerMessage {
    #[prost(uint32, tag = "1")]
    pub turn: u32,
    #[prost(message, optional, tag = "2")]
    pub answer: Option<AnswerMessage>,
    #[prost(message, optional, tag = "3")]
    pub usage: Option<UsageMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ProgramReportMessage {
    #[prost(string, tag = "1")]
    pub program: String,
    #[prost(string, tag = "2")]
    pub tenant: String,
    #[prost(string, tag = "3")]
    pub parent: String,
    #[prost(string, repeated, tag = "4")]
    pub children: Vec<String>,
    #[prost(message, optional, tag = "5")]
    pub budget: Option<BudgetMessage>,
    /// 0 not ended, 1 ended by the caller, 2 lease expired, 3 parent ended.
    #[prost(uint32, tag = "6")]
    pub ended: u32,
    #[prost(message, optional, tag = "7")]
    pub in_flight: Option<CallMessage>,
    #[prost(uint32, tag = "8")]
    pub next_turn: u32,
    #[prost(uint64, tag = "9")]
    pub history_length: u64,
    #[prost(string, repeated, tag = "10")]
    pub messages: Vec<String>,
    #[prost(string, repeated, tag = "11")]
    pub engines: Vec<String>,
    #[prost(message, repeated, tag = "12")]
    pub decisions: Vec<DecisionMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct BudgetMessage {
    #[prost(message, optional, tag = "1")]
    pub limits: Option<LimitsMessage>,
    #[prost(uint32, tag = "2")]
    pub turns: u32,
    #[prost(message, optional, tag = "3")]
    pub spent: Option<ReservationMessage>,
    #[prost(uint32, tag = "4")]
    pub sub_agents: u32,
    #[prost(message, optional, tag = "5")]
    pub reserved: Option<ReservationMessage>,
    #[prost(uint64, tag = "6")]
    pub started_micros: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct DecisionMessage {
    #[prost(uint64, tag = "1")]
    pub at_micros: u64,
    #[prost(string, tag = "2")]
    pub kind: String,
    #[prost(uint32, optional, tag = "3")]
    pub turn: Option<u32>,
    #[prost(string, tag = "4")]
    pub reason: String,
}

impl Wire for RunTurn {
    type Message = RunTurnMessage;

    fn to_wire(&self) -> RunTurnMessage {
        RunTurnMessage {
            turn: self.turn.0,
            earlier_messages: encode_chat_messages(&self.earlier_messages),
            output_tokens: self.output_tokens,
            last_engine: to_string_or_empty(&self.last_engine),
            attained_tokens: self.attained_tokens,
        }
    }

    fn from_wire(message: RunTurnMessage) -> Result<Self, DecodeError> {
        Ok(RunTurn {
            turn: TurnNumber(message.turn),
            earlier_messages: decode_chat_messages(message.earlier_messages),
            output_tokens: message.output_tokens,
            last_engine: parse_optional_name(message.last_engine, "last_engine")?,
            attained_tokens: message.attained_tokens,
        })
    }
}

impl Wire for RecordedAnswer {
    type Message = RecordedAnswerMessage;

    fn to_wire(&self) -> RecordedAnswerMessage {
        RecordedAnswerMessage {
            turn: self.turn.0,
            answer: Some(self.answer.to_wire()),
            usage: Some(self.usage.to_wire()),
        }
    }

    fn from_wire(message: RecordedAnswerMessage) -> Result<Self, DecodeError> {
        Ok(RecordedAnswer {
            turn: TurnNumber(message.turn),
            answer: decode_required(message.answer, "answer")?,
            usage: decode_required(message.usage, "usage")?,
        })
    }
}

impl Wire for Budget {
    type Message = BudgetMessage;

    fn to_wire(&self) -> BudgetMessage {
        BudgetMessage {
            limits: Some(self.limits.to_wire()),
            turns: self.spent.turns,
            spent: Some(ReservationMessage {
                input_tokens: self.spent.input_tokens,
                output_tokens: self.spent.output_tokens,
            }),
            sub_agents: self.spent.sub_agents,
            reserved: Some(self.reserved.to_wire()),
            started_micros: encode_timestamp(self.started),
        }
    }

    fn from_wire(message: BudgetMessage) -> Result<Self, DecodeError> {
        let spent = require_field(message.spent, "spent")?;
        Ok(Budget {
            limits: decode_required(message.limits, "limits")?,
            spent: BudgetSpent {
                turns: message.turns,
                input_tokens: spent.input_tokens,
                output_tokens: spent.output_tokens,
                sub_agents: message.sub_agents,
            },
            reserved: decode_required(message.reserved, "reserved")?,
            started: Timestamp(message.started_micros),
        })
    }
}

impl Wire for Decision {
    type Message = DecisionMessage;

    fn to_wire(&self) -> DecisionMessage {
        DecisionMessage {
            at_micros: encode_timestamp(self.at),
            kind: self.kind.to_string(),
            turn: encode_turn(self.turn),
            reason: self.reason.clone(),
        }
    }

    fn from_wire(message: DecisionMessage) -> Result<Self, DecodeError> {
        Ok(Decision {
            at: Timestamp(message.at_micros),
            kind: DecisionKind::parse(&message.kind).ok_or(DecodeError::Invalid("kind"))?,
            turn: message.turn.map(TurnNumber),
            reason: message.reason,
        })
    }
}

fn encode_ended(ended: Option<EndReason>) -> u32 {
    match ended {
        None => 0,
        Some(EndReason::Caller) => 1,
        Some(EndReason::LeaseExpired) => 2,
        Some(EndReason::ParentEnded) => 3,
    }
}

fn decode_ended(field: u32) -> Result<Option<EndReason>, DecodeError> {
    match field {
        0 => Ok(None),
        1 => Ok(Some(EndReason::Caller)),
        2 => Ok(Some(EndReason::LeaseExpired)),
        3 => Ok(Some(EndReason::ParentEnded)),
        _ => Err(DecodeError::Invalid("ended")),
    }
}

impl Wire for ProgramReport {
    type Message = ProgramReportMessage;

    fn to_wire(&self) -> ProgramReportMessage {
        ProgramReportMessage {
            program: self.program.to_string(),
            tenant: self.tenant.to_string(),
            parent: to_string_or_empty(&self.parent),
            children: to_strings(&self.children),
            budget: Some(self.budget.to_wire()),
            ended: encode_ended(self.ended),
            in_flight: self.in_flight.map(|call| call.to_wire()),
            next_turn: self.next_turn.0,
            history_length: self.history_length as u64,
            messages: encode_chat_messages(&self.messages),
            engines: to_strings(&self.engines),
            decisions: encode_list(&self.decisions),
        }
    }

    fn from_wire(message: ProgramReportMessage) -> Result<Self, DecodeError> {
        Ok(ProgramReport {
            program: parse_name(message.program, "program")?,
            tenant: parse_name(message.tenant, "tenant")?,
            parent: parse_optional_name(message.parent, "parent")?,
            children: parse_names(message.children, "children")?,
            budget: decode_required(message.budget, "budget")?,
            ended: decode_ended(message.ended)?,
            in_flight: decode_optional(message.in_flight)?,
            next_turn: TurnNumber(message.next_turn),
            history_length: message.history_length as usize,
            messages: decode_chat_messages(message.messages),
            engines: parse_names(message.engines, "engines")?,
            decisions: decode_list(message.decisions)?,
        })
    }
}

impl Wire for Reply {
    type Message = ReplyMessage;

    fn to_wire(&self) -> ReplyMessage {
        let kind = match self {
            Reply::Run(run) => ReplyKind::Run(run.to_wire()),
            Reply::Replay(answer) => ReplyKind::Replay(answer.to_wire()),
            Reply::PrefixMismatch => ReplyKind::SendAllMessages(EmptyMessage {}),
            Reply::Rejected(problem) => ReplyKind::Refused(problem.to_wire()),
            Reply::Done => ReplyKind::Done(EmptyMessage {}),
            Reply::Granted(limits) => ReplyKind::Granted(limits.to_wire()),
            Reply::Report(report) => ReplyKind::Report(Box::new(report.to_wire())),
            Reply::Abandoned => ReplyKind::Abandoned(EmptyMessage {}),
            Reply::Ended(programs) => ReplyKind::Gone(ProgramsMessage { programs: to_strings(programs) }),
            Reply::RunService => ReplyKind::RunService(EmptyMessage {}),
            Reply::ReplayService(response) => ReplyKind::ReplayService(response.to_wire()),
        };
        ReplyMessage { kind: Some(kind) }
    }

    fn from_wire(message: ReplyMessage) -> Result<Self, DecodeError> {
        Ok(match require_field(message.kind, "kind")? {
            ReplyKind::Run(message) => Reply::Run(Box::new(RunTurn::from_wire(message)?)),
            ReplyKind::Replay(message) => Reply::Replay(Wire::from_wire(message)?),
            ReplyKind::SendAllMessages(_) => Reply::PrefixMismatch,
            ReplyKind::Refused(message) => Reply::Rejected(Wire::from_wire(message)?),
            ReplyKind::Done(_) => Reply::Done,
            ReplyKind::Granted(message) => Reply::Granted(Wire::from_wire(message)?),
            ReplyKind::Report(message) => Reply::Report(Box::new(ProgramReport::from_wire(*message)?)),
            ReplyKind::Abandoned(_) => Reply::Abandoned,
            ReplyKind::Gone(message) => Reply::Ended(parse_names(message.programs, "programs")?),
            ReplyKind::RunService(_) => Reply::RunService,
            ReplyKind::ReplayService(message) => Reply::ReplayService(Wire::from_wire(message)?),
        })
    }
}

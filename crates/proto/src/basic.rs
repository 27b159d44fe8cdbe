//! Messages for types that several other messages share.

use std::time::Duration;

use sumacdrift_program::{BudgetLimits, LedgerKey, Reservation, Runner, ServiceResponse};
use sumacdrift_types::{CallId, Incarnation, NodeId, Problem, Ran, ResultCode, Timestamp, TurnNumber, Usage};

use crate::wire::{DecodeError, Wire, parse_name};

#[derive(Clone, PartialEq, prost::Message)]
pub struct CallMessage {
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    #[prost(fixed64, tag = "2")]
    pub low: u64,
}

impl Wire for CallId {
    type Message = CallMessage;

    fn to_wire(&self) -> CallMessage {
        let [high, low] = self.to_halves();
        CallMessage { high, low }
    }

    fn from_wire(message: CallMessage) -> Result<Self, DecodeError> {
        Ok(CallId::from_halves(message.high, message.low))
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ProblemMessage {
    #[prost(uint32, tag = "1")]
    pub code: u32,
    #[prost(string, tag = "2")]
    pub detail: String,
    /// Whether the call ran: 0 no, 1 yes, any other value unknown.
    #[prost(uint32, tag = "3")]
    pub ran: u32,
    #[prost(uint64, optional, tag = "4")]
    pub retry_after_millis: Option<u64>,
}

impl Wire for Problem {
    type Message = ProblemMessage;

    fn to_wire(&self) -> ProblemMessage {
        let ran = match self.ran {
            Ran::No => 0,
            Ran::Yes => 1,
            Ran::Unknown => 2,
        };
        ProblemMessage {
            code: self.code.number(),
            detail: self.detail.clone(),
            ran,
            retry_after_millis: self.retry_after.map(|delay| delay.as_millis() as u64),
        }
    }

    fn from_wire(message: ProblemMessage) -> Result<Self, DecodeError> {
        let ran = match message.ran {
            0 => Ran::No,
            1 => Ran::Yes,
            _ => Ran::Unknown,
        };
        let code = ResultCode::from_number(message.code).unwrap_or(ResultCode::Internal);
        let retry_after = message.retry_after_millis.map(Duration::from_millis);
        Ok(Problem { code, detail: message.detail, ran, retry_after })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RunnerMessage {
    #[prost(uint32, tag = "1")]
    pub node: u32,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

impl Wire for Runner {
    type Message = RunnerMessage;

    fn to_wire(&self) -> RunnerMessage {
        RunnerMessage { node: self.node.0, incarnation: self.incarnation.0 }
    }

    fn from_wire(message: RunnerMessage) -> Result<Self, DecodeError> {
        let incarnation = Incarnation(message.incarnation);
        Ok(Runner { node: NodeId(message.node), incarnation })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitsMessage {
    #[prost(uint32, tag = "1")]
    pub turns: u32,
    #[prost(uint64, tag = "2")]
    pub input_tokens: u64,
    #[prost(uint64, tag = "3")]
    pub output_tokens: u64,
    #[prost(uint64, tag = "4")]
    pub seconds: u64,
    #[prost(uint32, tag = "5")]
    pub sub_agents: u32,
}

impl Wire for BudgetLimits {
    type Message = LimitsMessage;

    fn to_wire(&self) -> LimitsMessage {
        LimitsMessage {
            turns: self.turns,
            input_tokens: self.input_tokens,
            output_tokens: self.output_tokens,
            seconds: self.seconds,
            sub_agents: self.sub_agents,
        }
    }

    fn from_wire(message: LimitsMessage) -> Result<Self, DecodeError> {
        Ok(BudgetLimits {
            turns: message.turns,
            input_tokens: message.input_tokens,
            output_tokens: message.output_tokens,
            seconds: message.seconds,
            sub_agents: message.sub_agents,
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ReservationMessage {
    #[prost(uint64, tag = "1")]
    pub input_tokens: u64,
    #[prost(uint64, tag = "2")]
    pub output_tokens: u64,
}

impl Wire for Reservation {
    type Message = ReservationMessage;

    fn to_wire(&self) -> ReservationMessage {
        ReservationMessage { input_tokens: self.input_tokens, output_tokens: self.output_tokens }
    }

    fn from_wire(message: ReservationMessage) -> Result<Self, DecodeError> {
        Ok(Reservation { input_tokens: message.input_tokens, output_tokens: message.output_tokens })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageMessage {
    #[prost(uint64, tag = "1")]
    pub prompt_tokens: u64,
    #[prost(uint64, tag = "2")]
    pub cached_tokens: u64,
    #[prost(uint64, tag = "3")]
    pub output_tokens: u64,
}

impl Wire for Usage {
    type Message = UsageMessage;

    fn to_wire(&self) -> UsageMessage {
        UsageMessage {
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
            output_tokens: self.output_tokens,
        }
    }

    fn from_wire(message: UsageMessage) -> Result<Self, DecodeError> {
        Ok(Usage {
            prompt_tokens: message.prompt_tokens,
            cached_tokens: message.cached_tokens,
            output_tokens: message.output_tokens,
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerKeyMessage {
    #[prost(string, tag = "1")]
    pub tenant: String,
    #[prost(string, tag = "2")]
    pub service: String,
    #[prost(string, tag = "3")]
    pub key: String,
}

impl Wire for LedgerKey {
    type Message = LedgerKeyMessage;

    fn to_wire(&self) -> LedgerKeyMessage {
        LedgerKeyMessage {
            tenant: self.tenant.to_string(),
            service: self.service.to_string(),
            key: self.key.to_string(),
        }
    }

    fn from_wire(message: LedgerKeyMessage) -> Result<Self, DecodeError> {
        Ok(LedgerKey {
            tenant: parse_name(message.tenant, "tenant")?,
            service: parse_name(message.service, "service")?,
            key: parse_name(message.key, "key")?,
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceResponseMessage {
    #[prost(uint32, tag = "1")]
    pub status: u32,
    #[prost(string, optional, tag = "2")]
    pub content_type: Option<String>,
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

impl Wire for ServiceResponse {
    type Message = ServiceResponseMessage;

    fn to_wire(&self) -> ServiceResponseMessage {
        ServiceResponseMessage {
            status: u32::from(self.status),
            content_type: self.content_type.clone(),
            body: self.body.clone(),
        }
    }

    fn from_wire(message: ServiceResponseMessage) -> Result<Self, DecodeError> {
        let status = u16::try_from(message.status).map_err(|_| DecodeError::Invalid("status"))?;
        Ok(ServiceResponse { status, content_type: message.content_type, body: message.body })
    }
}

/// `None` stands for the next turn.
pub(crate) fn encode_turn(turn: Option<TurnNumber>) -> Option<u32> {
    turn.map(|turn| turn.0)
}

pub(crate) fn encode_timestamp(time: Timestamp) -> u64 {
    time.0
}

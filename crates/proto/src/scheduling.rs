//! Messages between the node that runs a call and the node that owns an engine's queue.

use std::time::Duration;

use sumacdrift_scheduling::{Bid, ContextPrefix, EngineWork, Estimate, FinishedWork, Release};
use sumacdrift_types::{PrefixDigest, Timestamp};

use crate::basic::{CallMessage, UsageMessage, encode_timestamp};
use crate::wire::{
    DecodeError, Wire, decode_list, decode_optional, decode_required, encode_list, parse_name, to_array,
};

#[derive(Clone, PartialEq, prost::Message)]
pub struct PrefixMessage {
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

impl Wire for ContextPrefix {
    type Message = PrefixMessage;

    fn to_wire(&self) -> PrefixMessage {
        PrefixMessage { digest: self.digest.0.to_vec(), tokens: self.tokens }
    }

    fn from_wire(message: PrefixMessage) -> Result<Self, DecodeError> {
        let digest = PrefixDigest(to_array(&message.digest, "digest")?);
        Ok(ContextPrefix { digest, tokens: message.tokens })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkMessage {
    #[prost(message, optional, tag = "1")]
    pub call: Option<CallMessage>,
    #[prost(string, tag = "2")]
    pub program: String,
    #[prost(string, tag = "3")]
    pub tenant: String,
    #[prost(uint32, tag = "4")]
    pub rank: u32,
    #[prost(message, repeated, tag = "5")]
    pub prefixes: Vec<PrefixMessage>,
    #[prost(uint64, tag = "6")]
    pub max_output_tokens: u64,
    #[prost(uint64, tag = "7")]
    pub attained_tokens: u64,
    #[prost(uint64, optional, tag = "8")]
    pub deadline_micros: Option<u64>,
}

impl Wire for EngineWork {
    type Message = WorkMessage;

    fn to_wire(&self) -> WorkMessage {
        WorkMessage {
            call: Some(self.call.to_wire()),
            program: self.program.to_string(),
            tenant: self.tenant.to_string(),
            rank: self.rank,
            prefixes: encode_list(&self.prefixes),
            max_output_tokens: self.max_output_tokens,
            attained_tokens: self.attained_tokens,
            deadline_micros: self.deadline.map(encode_timestamp),
        }
    }

    fn from_wire(message: WorkMessage) -> Result<Self, DecodeError> {
        Ok(EngineWork {
            call: decode_required(message.call, "call")?,
            program: parse_name(message.program, "program")?,
            tenant: parse_name(message.tenant, "tenant")?,
            rank: message.rank,
            prefixes: decode_list(message.prefixes)?,
            max_output_tokens: message.max_output_tokens,
            attained_tokens: message.attained_tokens,
            deadline: message.deadline_micros.map(Timestamp),
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct BidMessage {
    #[prost(string, tag = "1")]
    pub engine: String,
    #[prost(double, tag = "2")]
    pub queue_seconds: f64,
    #[prost(double, tag = "3")]
    pub first_token_seconds: f64,
    #[prost(double, tag = "4")]
    pub finish_seconds: f64,
    #[prost(uint64, tag = "5")]
    pub uncached_tokens: u64,
    #[prost(uint64, tag = "6")]
    pub evicted_tokens: u64,
    #[prost(uint64, tag = "7")]
    pub cached_tokens: u64,
}

impl Wire for Bid {
    type Message = BidMessage;

    fn to_wire(&self) -> BidMessage {
        BidMessage {
            engine: self.engine.to_string(),
            queue_seconds: self.estimate.queue_seconds,
            first_token_seconds: self.estimate.first_token_seconds,
            finish_seconds: self.estimate.finish_seconds,
            uncached_tokens: self.estimate.uncached_tokens,
            evicted_tokens: self.estimate.evicted_tokens,
            cached_tokens: self.cached_tokens,
        }
    }

    fn from_wire(message: BidMessage) -> Result<Self, DecodeError> {
        Ok(Bid {
            engine: parse_name(message.engine, "engine")?,
            estimate: Estimate {
                queue_seconds: message.queue_seconds,
                first_token_seconds: message.first_token_seconds,
                finish_seconds: message.finish_seconds,
                uncached_tokens: message.uncached_tokens,
                evicted_tokens: message.evicted_tokens,
            },
            cached_tokens: message.cached_tokens,
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ReleaseMessage {
    #[prost(message, optional, tag = "1")]
    pub call: Option<CallMessage>,
    #[prost(message, optional, tag = "2")]
    pub finished: Option<FinishedMessage>,
    #[prost(bool, tag = "3")]
    pub is_engine_fault: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct FinishedMessage {
    #[prost(message, optional, tag = "1")]
    pub usage: Option<UsageMessage>,
    #[prost(uint64, tag = "2")]
    pub first_token_micros: u64,
    #[prost(uint64, tag = "3")]
    pub decoding_micros: u64,
    #[prost(message, optional, tag = "4")]
    pub end: Option<PrefixMessage>,
}

impl Wire for FinishedWork {
    type Message = FinishedMessage;

    fn to_wire(&self) -> FinishedMessage {
        FinishedMessage {
            usage: Some(self.usage.to_wire()),
            first_token_micros: self.time_to_first_token.as_micros() as u64,
            decoding_micros: self.decode_time.as_micros() as u64,
            end: self.end.map(|end| end.to_wire()),
        }
    }

    fn from_wire(message: FinishedMessage) -> Result<Self, DecodeError> {
        Ok(FinishedWork {
            usage: decode_required(message.usage, "usage")?,
            time_to_first_token: Duration::from_micros(message.first_token_micros),
            decode_time: Duration::from_micros(message.decoding_micros),
            end: decode_optional(message.end)?,
        })
    }
}

impl Wire for Release {
    type Message = ReleaseMessage;

    fn to_wire(&self) -> ReleaseMessage {
        ReleaseMessage {
            call: Some(self.call.to_wire()),
            finished: self.finished.as_ref().map(FinishedWork::to_wire),
            is_engine_fault: self.is_engine_fault,
        }
    }

    fn from_wire(message: ReleaseMessage) -> Result<Self, DecodeError> {
        Ok(Release {
            call: decode_required(message.call, "call")?,
            finished: decode_optional(message.finished)?,
            is_engine_fault: message.is_engine_fault,
        })
    }
}

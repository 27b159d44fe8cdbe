//! Types shared by all crates: identifiers, time, chat messages, usage and result codes.
//!
//! Nothing here needs a clock, a socket or a task, so that decision crates can depend on it without pulling in an
//! async runtime.

mod chat;
mod ids;
mod mechanism;
mod outcome;
mod rendezvous;
mod result_code;
mod time;
mod topology;
mod usage;

pub use chat::{ChatMessage, HistoryMode, InvalidMessage, MessageDigest, PrefixDigest};
pub use ids::{
    CallId, EngineName, Generation, IdempotencyKey, Incarnation, InvalidName, ModelName, NodeId, PoolName,
    PriorityName, ProgramId, RegionName, ServiceName, ShardId, TenantName, TurnNumber, ZoneName,
};
pub use mechanism::{DisabledMechanisms, Mechanism, UnknownMechanism, names as mechanism_names};
pub use outcome::{Problem, Ran};
pub use rendezvous::{rendezvous_order, stable_hash};
pub use result_code::ResultCode;
pub use time::Timestamp;
pub use topology::{AllowedRegions, Location, Nearness, Topology};
pub use usage::{TokenCount, Usage, estimate_tokens};

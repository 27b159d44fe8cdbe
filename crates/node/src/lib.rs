//! The node: wires the decision crates to clock, sockets and tasks.
//!
//! Decisions are made elsewhere, in crates without input or output; what stands here carries messages and
//! effects between them. [`Node::start`] is the one place where everything is put together.

mod admin;
mod calls;
mod chat_attempts;
mod chat_runner;
mod clock;
mod configuration;
mod context;
mod dispatch;
mod engine_owner;
mod engine_router;
mod fleet;
mod founding;
mod logging;
mod memory_check;
mod metrics;
mod node;
mod parts;
mod peer_handler;
mod service_runner;
mod shard_client;
mod shard_host;

pub use logging::{discard_logger, json_logger};
pub use node::{Node, NodeAddresses, ShardSummary, StartError, StartOptions};

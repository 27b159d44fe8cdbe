//! The node process: connects the I/O-free decision crates to clocks, sockets and tasks.
//!
//! Scheduling, membership and replication decisions are made in other crates; this one delivers messages to
//! them and applies their effects. [`Node::start`] is the entry point.

mod admin;
mod attempt_outcome;
mod chat_runner;
mod clock;
mod components;
mod configuration;
mod context;
mod dispatcher;
mod engine_owner;
mod engine_router;
mod fleet;
mod founding;
mod logging;
mod memory_check;
mod metrics;
mod node;
mod peer_handler;
mod running_calls;
mod service_runner;
mod shard_client;
mod shard_host;

pub use logging::{discard_logger, json_logger};
pub use node::{Node, NodeAddresses, ShardSummary, StartError, StartOptions};

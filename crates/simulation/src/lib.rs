//! Deterministic simulation of a fleet under faults, on a virtual clock.
//!
//! A run depends only on its options. Nodes run the production code of the `shard`, `scheduling` and `config`
//! crates; the network, engines, services, platform and callers are simple models. An oracle that sees only
//! requests, executions and answers checks the guarantees.

mod call_rules;
mod caller;
mod faults;
mod gateway;
mod network;
mod node;
mod oracle;
mod packet;
mod platform;
mod report;
mod task;
mod world;

pub use faults::{FaultKind, UnknownFault, parse_faults};
pub use report::SimulationReport;
pub use world::{SimulationOptions, simulate};

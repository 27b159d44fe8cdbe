//! Deterministic simulation: the real state machines, emulated engines and callers, a virtual clock and faults.
//!
//! Everything that happens follows from the seed. Nodes run the very code of the `shard`, `scheduling` and
//! `config` crates; the network, the engines, the services, the platform and the callers are simple models. An
//! oracle that knows only what callers sent, what ran and what was answered checks the brief's ten guarantees.

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

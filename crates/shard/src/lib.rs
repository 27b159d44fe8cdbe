//! Replica of a program shard: the replicated log combined with the program state machine.
//!
//! Performs no I/O, so that the node, the simulator and the fuzzer run the same code.

mod repair;
mod replica;

pub use repair::{FleetView, RepairSettings};
pub use replica::{NotLeader, ProgramShard, ShardOutput, ShardSettings};

//! One replica of one program shard: the replicated log and the program state machine put together.
//!
//! Still without input or output of its own, so that the node, the simulator and the fuzzer drive the same code.

mod repair;
mod replica;

pub use repair::{FleetView, RepairSettings};
pub use replica::{NotLeader, ProgramShard, ShardOutput, ShardSettings};

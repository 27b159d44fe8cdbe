//! Fleet-wide view of load and prompt caches: calls at engines by edge, and which engine holds which part of
//! a prompt.
//!
//! Edges query replicas of the ledger at the start and end of each turn. Their [`NodeReport`]s are sent with
//! these requests and the replica's [`PeerView`] of all edges returns with the response, so that no extra messages
//! are needed. A replica keeps the reports in a [`ReportBoard`], in memory only, bounded, and with expiry. The view
//! may be stale or incomplete: it may decide where a call is routed, never whether it may run.

mod board;
mod load_table;
mod message;
mod part_index;

pub use board::{BoardLimits, BoardReport, ReportBoard};
pub use load_table::LoadTable;
pub use message::{CachedPart, EngineLoad, Loads, NodeReport, PeerView, ServiceDemand};
pub use part_index::PartIndex;

use sumacdrift_types::stable_hash;

/// Hash that identifies an engine's incarnation in messages. Stable across builds.
pub fn engine_key(id: &str) -> u32 {
    stable_hash(&[id.as_bytes()]) as u32
}

/// Hash that identifies a service in messages. Stable across builds.
pub fn service_key(name: &str) -> u32 {
    stable_hash(&[name.as_bytes()]) as u32
}

/// Hash that identifies a part of a prompt in messages. Stable across builds.
pub fn part_key(id: &str) -> u64 {
    stable_hash(&[id.as_bytes()])
}

//! What edges know of each other's doings: calls at engines, and which engine holds which part of a prompt.
//!
//! An edge asks replicas of the ledger at the begin and the end of each turn anyhow. Its [`News`] ride along, and the
//! replica's [`View`] of all edges comes back with the answer, so no message is sent for this alone. A replica keeps
//! the news in a [`Board`]: in memory only, bounded, forgotten when they are old. All of it is a belief that decides
//! where a call goes, never whether it may run.

mod board;
mod load_table;
mod message;
mod part_index;

pub use board::{Board, BoardNews, BoardSizes};
pub use load_table::LoadTable;
pub use message::{EngineLoad, Loads, News, PartHeld, ServiceDemand, View};
pub use part_index::PartIndex;

use sumacdrift_types::stable_hash;

/// Short name of an engine's life in messages.
pub fn engine_key(id: &str) -> u32 {
    stable_hash(&[id.as_bytes()]) as u32
}

/// Short name of a service in messages.
pub fn service_key(name: &str) -> u32 {
    stable_hash(&[name.as_bytes()]) as u32
}

/// Short name of a part of a prompt in messages.
pub fn part_key(id: &str) -> u64 {
    stable_hash(&[id.as_bytes()])
}

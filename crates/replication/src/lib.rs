//! Raft for replicas without durable storage.
//!
//! Implements Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, leader lease, learners, single-server
//! membership changes and leadership transfer. Since nothing is persisted, a replica's identity includes the
//! incarnation of its process: a restarted process has lost its votes and its log, so it joins as a new replica,
//! as a learner, and can't vote twice in a term.
//!
//! The crate does no I/O and reads no clock. The driver passes in time and messages and carries out [`Action`]s.

mod configuration;
mod election;
mod log;
mod message;
mod placement;
mod progress;
mod replica;
mod settings;

pub use configuration::{Configuration, ConfigurationChange, ReplicaId};
pub use log::{LogEntry, LogIndex, Payload, Term};
pub use message::{AppendEntries, AppendReply, InstallSnapshot, Message, VoteReply, VoteRequest};
pub use placement::{Candidate, spread};
pub use replica::{Action, ProposeError, Replica, Role};
pub use settings::ReplicaSettings;

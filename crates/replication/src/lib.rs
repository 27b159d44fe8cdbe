//! A replicated log with leader, term and majority commit, for replicas that keep nothing on disk.
//!
//! The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, leader lease, learners,
//! single-step membership change and leadership transfer. It differs in one point, which diskless machines
//! force: a replica's identity includes the incarnation of its process. A process that restarts has forgotten
//! its votes and its log, so it is another replica; it joins as a learner and can't vote under its old
//! identity, and so can't break a promise it no longer remembers.
//!
//! Nothing here reads a clock or a socket. The driver passes time and messages in and carries [`Action`]s out.

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

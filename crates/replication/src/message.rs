//! Messages between the replicas of a group.

use bytes::Bytes;

use crate::{Configuration, LogEntry, LogIndex, Term};

/// A message from one replica to another.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Requests a vote or a pre-vote.
    VoteRequest(VoteRequest),
    /// Reply to `VoteRequest`.
    VoteReply(VoteReply),
    /// Log entries from the leader; without entries, a heartbeat.
    AppendEntries(AppendEntries),
    /// Reply to `AppendEntries` and `InstallSnapshot`.
    AppendReply(AppendReply),
    /// Snapshot for a replica that needs entries already removed from the leader's log.
    InstallSnapshot(InstallSnapshot),
    /// Makes a follower start an election at once, for leadership transfer.
    TimeoutNow { term: Term },
    /// Notifies a replica of its removal from the group.
    NotMember {
        term: Term,
        /// `last_index` of the vote request that this message replies to.
        last_index: LogIndex,
    },
}

/// A request for a vote or a pre-vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteRequest {
    /// Term of the election.
    pub term: Term,
    /// Index of the candidate's last entry.
    pub last_index: LogIndex,
    /// Term of the candidate's last entry.
    pub last_term: Term,
    /// A pre-vote asks whether a vote would be granted and does not bind the voter.
    pub is_pre_vote: bool,
    /// The leader requested this election, so voters grant it even while they have a live leader.
    pub is_transfer: bool,
}

/// The reply to a vote request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteReply {
    /// Term of the election if granted, otherwise the voter's current term.
    pub term: Term,
    /// Whether the vote is granted.
    pub is_granted: bool,
    /// Whether the request was for a pre-vote.
    pub is_pre_vote: bool,
}

/// Log entries from a leader.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendEntries {
    pub term: Term,
    /// Index of the entry preceding `entries`.
    pub previous_index: LogIndex,
    /// Term of the entry at `previous_index`.
    pub previous_term: Term,
    /// Index at which the receiver was added to the group; echoed in the reply.
    pub membership: LogIndex,
    /// The leader's commit index.
    pub committed: LogIndex,
    /// Send time by the leader's clock; echoed in the reply, where it renews the leader's lease.
    pub sent_at_micros: u64,
    pub entries: Vec<LogEntry>,
}

/// The reply to `AppendEntries` or `InstallSnapshot`.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendReply {
    /// The follower's term.
    pub term: Term,
    /// Whether the entries or the snapshot were accepted.
    pub is_success: bool,
    /// On success, the index up to which the logs match; otherwise a hint for the next attempt.
    pub match_index: LogIndex,
    /// Echoed from the request.
    pub membership: LogIndex,
    /// Echoed from the request.
    pub sent_at_micros: u64,
}

/// A snapshot of the state machine from a leader.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstallSnapshot {
    pub term: Term,
    /// Index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// Term of the entry at `index`.
    pub index_term: Term,
    /// Configuration in force at `index`.
    pub configuration: Configuration,
    /// Index at which the receiver was added to the group; echoed in the reply.
    pub membership: LogIndex,
    /// Send time by the leader's clock; echoed in the reply.
    pub sent_at_micros: u64,
    /// Encoded state; opaque to this crate.
    pub data: Bytes,
}

impl Message {
    /// The term that the message carries: the sender's, or that of the election for vote messages.
    pub fn term(&self) -> Term {
        match self {
            Message::VoteRequest(request) => request.term,
            Message::VoteReply(reply) => reply.term,
            Message::AppendEntries(append) => append.term,
            Message::AppendReply(reply) => reply.term,
            Message::InstallSnapshot(snapshot) => snapshot.term,
            Message::TimeoutNow { term } | Message::NotMember { term, .. } => *term,
        }
    }
}

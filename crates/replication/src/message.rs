//! Messages between replicas of one group.

use bytes::Bytes;

use crate::{Configuration, LogEntry, LogIndex, Term};

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks for a vote, or whether a vote would be given.
    VoteRequest(VoteRequest),
    /// Answers `VoteRequest`.
    VoteReply(VoteReply),
    /// Carries entries, or none as a heartbeat.
    AppendEntries(AppendEntries),
    /// Answers `AppendEntries` and `InstallSnapshot`.
    AppendReply(AppendReply),
    /// Carries the whole state to a replica that is too far behind for entries.
    InstallSnapshot(InstallSnapshot),
    /// Tells a follower to stand for election at once: leadership transfer.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
    /// Tells a replica that it was removed from the group.
    NotMember {
        /// The sender's term.
        term: Term,
        /// End of the removed replica's log, as its request for a vote gave it.
        last_index: LogIndex,
    },
}

/// A request for a vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteRequest {
    /// The term that the candidate stands for.
    pub term: Term,
    /// End of the candidate's log.
    pub last_index: LogIndex,
    /// Term of the candidate's last entry.
    pub last_term: Term,
    /// Only asks; binds nobody.
    pub is_pre_vote: bool,
    /// The leader itself asked for this election, so a live leader is no reason to refuse.
    pub is_transfer: bool,
}

/// The answer to a request for a vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteReply {
    /// The term that the candidate stands for where granted, else the voter's own.
    pub term: Term,
    /// Whether the vote is given.
    pub is_granted: bool,
    /// Whether only a pre-vote was asked for.
    pub is_pre_vote: bool,
}

/// Entries from a leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendEntries {
    /// The leader's term.
    pub term: Term,
    /// Index before the first entry.
    pub previous_index: LogIndex,
    /// Term at `previous_index`.
    pub previous_term: Term,
    /// Where the receiver was added to the group, as the leader sees it; comes back in the reply.
    pub membership: LogIndex,
    /// How far the leader knows the log to be committed.
    pub committed: LogIndex,
    /// When the leader sent this, on its own clock; comes back in the reply and carries the leader's lease.
    pub sent_at_micros: u64,
    /// The entries.
    pub entries: Vec<LogEntry>,
}

/// The answer to entries or a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendReply {
    /// The follower's term.
    pub term: Term,
    /// Whether the entries fit.
    pub is_success: bool,
    /// On success how far the follower's log equals the leader's; otherwise where to try next.
    pub match_index: LogIndex,
    /// The message's `membership`.
    pub membership: LogIndex,
    /// The message's `sent_at_micros`.
    pub sent_at_micros: u64,
}

/// A whole state from a leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstallSnapshot {
    /// The leader's term.
    pub term: Term,
    /// Index up to which the state holds everything.
    pub index: LogIndex,
    /// Term at `index`.
    pub index_term: Term,
    /// Configuration at `index`.
    pub configuration: Configuration,
    /// Where the receiver was added to the group, as the leader sees it.
    pub membership: LogIndex,
    /// When the leader sent this, on its own clock.
    pub sent_at_micros: u64,
    /// The state, opaque here.
    pub data: Bytes,
}

impl Message {
    /// The sender's term.
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

//! What each member said to one question, so that a question that was not decided tells why.

use std::fmt;
use std::time::Duration;

use sumacdrift_ledger::ReplyKind;
use tokio::time::Instant;

/// Least time between two lines about questions that were not decided: while a group is gone every call has one, and
/// they all say the same.
const LEAST_BETWEEN_LINES: Duration = Duration::from_millis(100);

/// What a member said last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberAnswer {
    /// It was not asked.
    NotAsked,
    /// It voted, or has the record.
    Counts,
    /// It has no vote.
    NotVoting,
    /// Its host has too much to do.
    Busy,
    /// It knows the group at this epoch.
    OtherEpoch(u64),
    /// It could not make the record durable, or did not understand.
    Failed,
    /// It said nothing.
    Silent,
}

impl MemberAnswer {
    /// What an answer amounts to.
    pub(crate) fn of(reply: Option<&ReplyKind>) -> Self {
        match reply {
            None => MemberAnswer::Silent,
            Some(ReplyKind::NotVoting(_) | ReplyKind::NeverVoted(_)) => MemberAnswer::NotVoting,
            Some(ReplyKind::Busy(_)) => MemberAnswer::Busy,
            Some(ReplyKind::WrongEpoch(group)) => MemberAnswer::OtherEpoch(group.epoch),
            Some(ReplyKind::Failed(_)) => MemberAnswer::Failed,
            Some(_) => MemberAnswer::Counts,
        }
    }
}

impl fmt::Display for MemberAnswer {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MemberAnswer::NotAsked => to.write_str("not asked"),
            MemberAnswer::Counts => to.write_str("counts"),
            MemberAnswer::NotVoting => to.write_str("not voting"),
            MemberAnswer::Busy => to.write_str("busy"),
            MemberAnswer::OtherEpoch(epoch) => write!(to, "epoch {epoch}"),
            MemberAnswer::Failed => to.write_str("failed"),
            MemberAnswer::Silent => to.write_str("silent"),
        }
    }
}

/// Bounds the lines about questions that were not decided.
#[derive(Debug, Default)]
pub(crate) struct UndecidedLines {
    last: Option<Instant>,
    left_out: u64,
}

impl UndecidedLines {
    /// Whether a line may be written now; if so, how many were left out since the last one.
    pub(crate) fn may_write(&mut self, now: Instant) -> Option<u64> {
        if self.last.is_some_and(|last| now.duration_since(last) < LEAST_BETWEEN_LINES) {
            self.left_out += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.left_out))
    }
}

//! Outcome for each member of one request, for the log line about an undecided request.

use std::fmt;

use sumacdrift_ledger::ReplyKind;

/// Last outcome of asking a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberAnswer {
    NotAsked,
    /// It voted, or has the record.
    Counts,
    NotVoting,
    /// Its host rejected the request as overloaded.
    Busy,
    /// It knows another epoch of the group.
    OtherEpoch(u64),
    /// It could not make the record durable, or could not decode the request.
    Failed,
    /// It did not reply.
    Silent,
}

impl MemberAnswer {
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

//! The order in which calls of programs wait for a service's room.
//!
//! Only whole programs that end in time are worth anything to their callers. So programs under way go before new ones,
//! those with the least time left first, and those that can't be in time any more behind all that can.

use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::PriorityRank;

/// How far a call's program has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgramStage {
    /// Earlier calls of it were answered.
    UnderWay,
    /// Its first call was refused and comes back when it was told to.
    Returning,
    /// It has not begun.
    New,
}

/// Rank of calls whose programs can't be in time any more: behind all others.
pub const HOPELESS_RANK: PriorityRank = PriorityRank::MAX;

/// Share of the usual time of a call below which what is left is not enough for any call of its kind.
const LEAST_SHARE_OF_USUAL: f64 = 0.7;

/// A call that wants to use a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedCall {
    /// Rank of its tenant and route.
    pub rank: PriorityRank,
    /// How far its program has come.
    pub stage: ProgramStage,
    /// When its program should be over, where it says so.
    pub program_end: Option<Timestamp>,
    /// When its caller stops waiting.
    pub deadline: Timestamp,
    /// How long calls of its kind usually take at an engine.
    pub usual_time: Duration,
    /// Bytes that are held for it.
    pub bytes: usize,
}

impl QueuedCall {
    /// Time that the call needs at the least.
    pub fn least_time(&self) -> Duration {
        self.usual_time.mul_f64(LEAST_SHARE_OF_USUAL)
    }

    /// Whether its caller still waits when it could have been answered, if it is let in at `at`.
    pub fn can_be_answered(&self, at: Timestamp) -> bool {
        at + self.least_time() < self.deadline
    }

    /// Whether its program can't be in time any more, if the call is let in at `at`.
    pub fn is_hopeless(&self, at: Timestamp) -> bool {
        self.program_end.is_some_and(|end| at + self.least_time() >= end)
    }

    /// Its rank by now.
    pub fn rank_now(&self, now: Timestamp) -> PriorityRank {
        if self.is_hopeless(now) { HOPELESS_RANK } else { self.rank }
    }
}

/// Position among waiting calls; smaller is let in first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProgramOrderKey {
    is_not_starving: bool,
    rank: PriorityRank,
    stage: ProgramStage,
    end: Timestamp,
    since: Timestamp,
}

/// Whether a call has waited for too long, and its program can be in time.
pub fn is_starving(call: &QueuedCall, since: Timestamp, now: Timestamp, starvation_bound: Duration) -> bool {
    now.since(since) >= starvation_bound && !call.is_hopeless(now)
}

/// Works out a call's position. A call that starves goes first whatever its rank.
pub fn program_order(
    call: &QueuedCall,
    since: Timestamp,
    now: Timestamp,
    starvation_bound: Duration,
) -> ProgramOrderKey {
    ProgramOrderKey {
        is_not_starving: !is_starving(call, since, now, starvation_bound),
        rank: call.rank_now(now),
        stage: call.stage,
        end: call.program_end.unwrap_or(call.deadline),
        since,
    }
}

//! Admission order of the calls that wait for a service's capacity.
//!
//! A program is only useful to its caller if it ends in time as a whole. Programs in progress therefore precede new ones,
//! those with the earliest deadline first, and programs that can no longer meet theirs come last.

use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::PriorityRank;

/// Progress of a call's program; earlier variants are admitted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgramStage {
    /// Earlier calls were answered.
    InProgress,
    /// The first call was rejected; this is its retry, after the delay that the rejection requested.
    Returning,
    /// No call was answered or rejected yet.
    New,
}

/// Rank of calls whose programs can no longer end in time: behind all others.
pub const LATE_PROGRAM_RANK: PriorityRank = PriorityRank::MAX;

/// Shortest expected duration of a call, as a fraction of the usual one.
const MIN_FRACTION_OF_EXPECTED_DURATION: f64 = 0.7;

/// A call that waits for a service's capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
#[allow(missing_docs)]
pub struct QueuedCall {
    /// Rank of the tenant and route.
    pub rank: PriorityRank,
    pub stage: ProgramStage,
    /// Deadline of the whole program; `None` if the caller gives none.
    pub program_deadline: Option<Timestamp>,
    /// When the caller stops waiting for the call.
    pub deadline: Timestamp,
    /// Usual duration of such calls at an engine.
    pub expected_duration: Duration,
    /// Memory that the call holds while it waits.
    pub bytes: usize,
}

impl QueuedCall {
    /// Shortest time that the call is expected to take at an engine.
    pub fn min_time(&self) -> Duration {
        self.expected_duration.mul_f64(MIN_FRACTION_OF_EXPECTED_DURATION)
    }

    /// Whether the call can be answered before its deadline if it is admitted at `admitted_at`.
    pub fn can_meet_deadline(&self, admitted_at: Timestamp) -> bool {
        admitted_at + self.min_time() < self.deadline
    }

    /// Whether the program misses its deadline if the call is admitted at `admitted_at`.
    pub fn is_program_late(&self, admitted_at: Timestamp) -> bool {
        self.program_deadline.is_some_and(|end| admitted_at + self.min_time() >= end)
    }

    /// Rank at a time: [`LATE_PROGRAM_RANK`] once the program can no longer end in time.
    pub fn effective_rank(&self, now: Timestamp) -> PriorityRank {
        if self.is_program_late(now) { LATE_PROGRAM_RANK } else { self.rank }
    }
}

/// Sort key of a waiting call; the smallest is admitted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProgramOrderKey {
    is_not_starving: bool,
    rank: PriorityRank,
    stage: ProgramStage,
    deadline: Timestamp,
    enqueued_at: Timestamp,
}

/// Whether a call has waited past the starvation bound while its program can still end in time.
pub fn is_starving(
    call: &QueuedCall,
    enqueued_at: Timestamp,
    now: Timestamp,
    starvation_bound: Duration,
) -> bool {
    now.since(enqueued_at) >= starvation_bound && !call.is_program_late(now)
}

/// Computes the sort key of a call. A starving call goes first whatever its rank.
pub fn program_order_key(
    call: &QueuedCall,
    enqueued_at: Timestamp,
    now: Timestamp,
    starvation_bound: Duration,
) -> ProgramOrderKey {
    ProgramOrderKey {
        is_not_starving: !is_starving(call, enqueued_at, now, starvation_bound),
        rank: call.effective_rank(now),
        stage: call.stage,
        deadline: call.program_deadline.unwrap_or(call.deadline),
        enqueued_at,
    }
}

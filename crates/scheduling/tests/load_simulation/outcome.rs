//! Outcome of a simulation and statistics on it.

use std::ops::Range;
use std::time::Duration;

use sumacdrift_scheduling::{PriorityRank, RejectionReason};
use sumacdrift_types::Timestamp;

use super::scenario::{CALL_TIME, CALL_TIMEOUT};

#[derive(Debug, Clone, Copy)]
pub struct ProgramRecord {
    pub rank: PriorityRank,
    pub calls: usize,
    pub requested_at: Timestamp,
    pub deadline: Timestamp,
    /// Whether the first call was admitted.
    pub has_started: bool,
    /// When the last call was answered.
    pub completed_at: Option<Timestamp>,
}

impl ProgramRecord {
    fn is_in_time(&self) -> bool {
        self.completed_at.is_some_and(|completed_at| completed_at <= self.deadline)
    }
}

/// An admitted call.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRecord {
    pub at: Timestamp,
    pub rank: PriorityRank,
    /// Whether the program's deadline had passed.
    pub is_late: bool,
    /// Wait at the node.
    pub waited: Duration,
    /// When it left the engine's queue.
    pub started_at: Option<Timestamp>,
    pub answered_at: Option<Timestamp>,
}

/// A call that a node rejected.
#[derive(Debug, Clone, Copy)]
pub struct RejectionRecord {
    pub at: Timestamp,
    pub rank: PriorityRank,
    /// Whether earlier calls of the program were answered.
    pub is_in_progress: bool,
    pub reason: RejectionReason,
    pub waited: Duration,
    pub retry_after: Duration,
}

/// State of the fleet at one time.
#[derive(Debug, Clone, Copy)]
pub struct FleetSample {
    pub at: Timestamp,
    /// Calls running or queued at engines.
    pub in_flight: usize,
    /// Calls that wait at nodes.
    pub waiting: usize,
}

/// Records and counters of a simulation.
#[derive(Debug, Default)]
pub struct SimulationOutcome {
    pub programs: Vec<ProgramRecord>,
    pub admissions: Vec<AdmissionRecord>,
    pub rejections: Vec<RejectionRecord>,
    pub samples: Vec<FleetSample>,
    /// Retry times requested of rejected callers.
    pub scheduled_retries: Vec<Timestamp>,
    /// Calls rejected because all engines that were tried were full.
    pub engine_rejections: usize,
    /// Calls whose callers left while they waited at a node.
    pub timed_out_while_waiting: usize,
}

/// `part` as a fraction of `whole`; 1 if `whole` is 0.
pub fn fraction(part: usize, whole: usize) -> f64 {
    if whole == 0 { 1.0 } else { part as f64 / whole as f64 }
}

impl SimulationOutcome {
    /// Fraction of a rank's programs requested in a period that ended in time.
    pub fn in_time_fraction(&self, rank: PriorityRank, period: &Range<Timestamp>) -> f64 {
        let is_requested =
            |program: &&ProgramRecord| program.rank == rank && period.contains(&program.requested_at);
        let of_rank: Vec<_> = self.programs.iter().filter(is_requested).collect();
        fraction(of_rank.iter().filter(|program| program.is_in_time()).count(), of_rank.len())
    }

    /// Calls of the programs requested in a period that ended in time.
    pub fn calls_of_programs_in_time(&self, period: &Range<Timestamp>) -> usize {
        let requested = self.programs.iter().filter(|program| period.contains(&program.requested_at));
        requested.filter(|program| program.is_in_time()).map(|program| program.calls).sum()
    }

    /// Number of a rank's programs that ended in time.
    pub fn programs_in_time(&self, rank: PriorityRank) -> usize {
        self.programs.iter().filter(|program| program.rank == rank && program.is_in_time()).count()
    }

    /// Calls answered per second of a period.
    pub fn answers_per_second(&self, period: &Range<Timestamp>) -> f64 {
        let answered = self.admissions.iter().filter_map(|call| call.answered_at);
        answered.filter(|at| period.contains(at)).count() as f64 / seconds(period)
    }

    /// Fraction of the started programs requested in a period that completed, in time or not.
    pub fn started_completion_fraction(&self, period: &Range<Timestamp>) -> f64 {
        let has_started =
            |program: &&ProgramRecord| program.has_started && period.contains(&program.requested_at);
        let started: Vec<_> = self.programs.iter().filter(has_started).collect();
        fraction(started.iter().filter(|program| program.completed_at.is_some()).count(), started.len())
    }

    /// Fraction of the admitted calls that were answered.
    pub fn admitted_answer_fraction(&self) -> f64 {
        fraction(
            self.admissions.iter().filter(|call| call.answered_at.is_some()).count(),
            self.admissions.len(),
        )
    }

    /// Calls held at a node until they could no longer be answered.
    pub fn calls_held_too_long(&self) -> usize {
        let is_held_too_long = |rejection: &&RejectionRecord| rejection.waited > CALL_TIMEOUT - CALL_TIME;
        self.timed_out_while_waiting + self.rejections.iter().filter(is_held_too_long).count()
    }

    /// Mean wait, at node and engine, of the calls admitted in a period whose programs were not late yet.
    pub fn mean_wait(&self, period: &Range<Timestamp>) -> Duration {
        let is_counted = |call: &&AdmissionRecord| period.contains(&call.at) && !call.is_late;
        let waits = |call: &AdmissionRecord| Some(call.started_at?.since(call.at) + call.waited);
        let waits: Vec<Duration> = self.admissions.iter().filter(is_counted).filter_map(waits).collect();
        waits.iter().sum::<Duration>() / u32::try_from(waits.len().max(1)).expect("few calls")
    }

    /// Maximum number of scheduled retries in any window of a length.
    pub fn max_retries_within(&self, within: Duration) -> usize {
        max_count_within(self.scheduled_retries.clone(), within)
    }

    /// The same for rejections by queues, without those by engines.
    pub fn max_queue_retries_within(&self, within: Duration) -> usize {
        let retry_at = |rejection: &RejectionRecord| rejection.at + rejection.retry_after;
        max_count_within(self.rejections.iter().map(retry_at).collect(), within)
    }

    /// Maximum number of calls in flight in a period.
    pub fn max_in_flight(&self, period: &Range<Timestamp>) -> usize {
        let samples = self.samples.iter().filter(|sample| period.contains(&sample.at));
        samples.map(|sample| sample.in_flight).max().unwrap_or(0)
    }
}

pub fn seconds(period: &Range<Timestamp>) -> f64 {
    period.end.since(period.start).as_secs_f64()
}

/// Maximum number of times in any window of a length.
fn max_count_within(mut times: Vec<Timestamp>, within: Duration) -> usize {
    times.sort_unstable();
    let end_of_window = |first: &Timestamp| times.partition_point(|at| at.since(*first) < within);
    let counts = times.iter().enumerate().map(|(index, first)| end_of_window(first) - index);
    counts.max().unwrap_or(0)
}

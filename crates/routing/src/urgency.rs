//! Urgency of a turn in the queue of its engine.
//!
//! Only programs that finish in time are worth anything. Under overload, serving all programs equally would make all
//! of them late, so they are split into groups by hash: some are served as if there were no overload, the others
//! wait. A program that can no longer meet its deadline is queued behind all that can.

use std::time::Duration;

/// Urgency of a turn whose program can't finish in time.
const PAST_DEADLINE: u8 = 8;
/// Urgency of the first group in the highest priority class.
const FIRST_GROUP: u8 = 1;
/// Number of groups in a priority class.
const GROUPS: u64 = 3;
/// Difference between two groups; the groups of the two classes alternate.
const GROUP_STEP: u8 = 2;
/// If less than this fraction of a turn's usual time is left, its program can't finish in time.
const MIN_TIME_SHARE: f64 = 0.7;

/// Inputs of [`urgency`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UrgencyInput {
    /// Rank of the priority class; 0 is highest.
    pub priority: u32,
    /// Equal for all turns of a program.
    pub program_hash: u64,
    /// Time until the program's deadline; `None` if it has none.
    pub program_time_left: Option<Duration>,
    /// Usual duration of turns of this kind; `None` if none was seen yet.
    pub expected_duration: Option<Duration>,
}

/// Returns the urgency from 0 (served first) to 9 (served last).
pub fn urgency(input: &UrgencyInput) -> u8 {
    let needed = input.expected_duration.unwrap_or_default().mul_f64(MIN_TIME_SHARE);
    if input.program_time_left.is_some_and(|left| left <= needed) {
        return PAST_DEADLINE;
    }
    let group = (input.program_hash % GROUPS) as u8;
    let class = u8::from(input.priority > 0);
    FIRST_GROUP + class + group * GROUP_STEP
}

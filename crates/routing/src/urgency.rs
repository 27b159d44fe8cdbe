//! How urgent a turn is at its engine: one plain function.
//!
//! Only whole programs that end in time are worth anything. While engines have room the order does not matter. When
//! they don't, serving all programs alike makes all of them late, so programs are told apart by a number drawn from
//! their name: some are served as if there were no overload, the others wait. A program that can't be in time any more
//! waits behind all that can.

use std::time::Duration;

/// Urgency of a turn whose program can't end in time any more.
const HOPELESS: u8 = 8;
/// Urgency of the first group of programs of the highest priority class.
const FIRST: u8 = 1;
/// Groups that programs of a class are drawn into.
const GROUPS: u64 = 3;
/// Step between two groups; classes lie between each other's groups.
const GROUP_STEP: u8 = 2;
/// Share of the usual time of a turn below which a program's time left is not enough for any turn.
const LEAST_SHARE: f64 = 0.7;

/// What is known of a turn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UrgencyFacts {
    /// Rank of its class; 0 is highest.
    pub priority: u32,
    /// A number that is equal for all turns of a program.
    pub program_hash: u64,
    /// Time until the program should be over, where it says so.
    pub program_time_left: Option<Duration>,
    /// Time that turns of this kind usually take, where some were seen.
    pub usual_time: Option<Duration>,
}

/// Urgency from 0 (first) to 9 (last).
pub fn urgency(facts: &UrgencyFacts) -> u8 {
    let needed = facts.usual_time.unwrap_or_default().mul_f64(LEAST_SHARE);
    if facts.program_time_left.is_some_and(|left| left <= needed) {
        return HOPELESS;
    }
    let group = (facts.program_hash % GROUPS) as u8;
    let class = u8::from(facts.priority > 0);
    FIRST + class + group * GROUP_STEP
}

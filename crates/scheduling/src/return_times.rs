//! When refused callers are told to come back: no faster than room comes free.
//!
//! Needed when a crowd is refused at one moment: told the same time, it would come back at one moment too.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// The wait that is counted on where none is known: some calls' time at an engine.
const USUAL_WAIT: Duration = Duration::from_millis(250);
/// The longest time between two callers' returns.
const LONGEST_GAP: Duration = Duration::from_millis(250);
/// The shortest time that is told: a new connection and the way to the caller take some of it.
const LEAST: Duration = Duration::from_millis(50);
/// The longest wait that is counted on: what is known of the load says little of later times.
const LONGEST_COUNTED_WAIT: Duration = Duration::from_secs(2);
/// The longest time that is told, where many were told to come back before. Told less, they would come back together.
const LONGEST: Duration = Duration::from_secs(10);

/// The times that refused callers were told.
#[derive(Debug, Default)]
pub struct ReturnTimes {
    next: Timestamp,
}

impl ReturnTimes {
    /// The time until the next caller may come back, behind all that were told before, where room is expected after
    /// `wait` and comes free for so many calls a second.
    pub fn next(&mut self, wait: Duration, calls_per_second: f64, now: Timestamp) -> Duration {
        let gap = Duration::from_secs_f64(1.0 / calls_per_second.max(1.0 / LONGEST_GAP.as_secs_f64()));
        let wait = if wait.is_zero() { USUAL_WAIT } else { wait };
        let at = self.next.max(now + wait.min(LONGEST_COUNTED_WAIT)).min(now + LONGEST);
        self.next = at + gap;
        at.since(now).max(LEAST)
    }
}

//! When refused callers are told to come back: no faster than room comes free.
//!
//! Answers a crowd that is refused at one moment: told the same time, it would come back at one moment too.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// When a caller comes back where nothing is known of the room: some calls' time at an engine.
const USUAL: Duration = Duration::from_millis(250);
/// The shortest time that is told: a new connection and the way to the caller take some of it.
const LEAST: Duration = Duration::from_millis(50);
/// The longest time that is told: what is known of the load says little of later times.
const LONGEST: Duration = Duration::from_secs(2);

/// The times that refused callers were told.
#[derive(Debug, Default)]
pub struct ReturnTimes {
    next: Timestamp,
}

impl ReturnTimes {
    /// The time until the next caller may come back, behind all that were told before, where room is expected after
    /// `wait` and comes free for so many calls a second.
    pub fn next(&mut self, wait: Duration, calls_per_second: f64, now: Timestamp) -> Duration {
        let gap = match calls_per_second > 0.0 {
            true => Duration::from_secs_f64((1.0 / calls_per_second).min(LONGEST.as_secs_f64())),
            false => USUAL,
        };
        let wait = if wait.is_zero() { USUAL } else { wait };
        let at = self.next.max(now + wait).min(now + LONGEST);
        self.next = at + gap;
        at.since(now).max(LEAST)
    }
}

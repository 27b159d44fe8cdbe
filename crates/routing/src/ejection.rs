//! What one node keeps of one engine's failures: its recent calls there, and the time for which the engine is put aside.

use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::choice::drawn;
use crate::outlier::Stage;
use crate::recent_calls::RecentCalls;

/// First time for which an engine is put aside; it doubles each time. Longer than counts of before can still be on
/// their way: the recent time (1.6 s), a board's memory (1 s) and the age of news.
pub const FIRST_ASIDE: Duration = Duration::from_secs(3);
/// Longest time for which an engine is put aside.
pub const LONGEST_ASIDE: Duration = Duration::from_secs(24);
/// Part of an engine's usual share of calls that may go there at first after that time. From step to step it grows by equal
/// factors until all calls may: which of them choose an engine with nothing to do is between one in all engines and each.
const FIRST_RETURN_SHARE: f64 = 0.5;
const RETURN_STEPS: u32 = 4;
/// How long a step takes: news of failures must arrive within it.
const RETURN_STEP: Duration = Duration::from_millis(750);
/// How long the return takes in all.
pub const RETURN_TIME: Duration = RETURN_STEP.saturating_mul(RETURN_STEPS);
/// How long after its return an engine is put aside for longer if it fails again.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// How long engines are spared after more of them failed than may be put aside.
const SPARED_FOR: Duration = Duration::from_secs(30);
/// How long an engine counts as in use after a call was under way there.
const IN_USE_FOR: Duration = Duration::from_secs(5);
/// Makes the calls that a returning engine gets independent of the calls that prefer it.
const RETURN_SALT: u64 = 0x6f75_746c_6965_7273;

/// The time for which an engine was put aside last.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Timestamp,
    pause: Duration,
    /// Engines of the service that were in use.
    among: usize,
    /// Whether its return was told.
    is_over: bool,
}

impl Ejection {
    fn stage(&self, now: Timestamp) -> Stage {
        if now < self.until {
            return Stage::Aside;
        }
        let step = now.since(self.until).as_micros() / RETURN_STEP.as_micros();
        let step = u32::try_from(step).unwrap_or(u32::MAX);
        if step < RETURN_STEPS { Stage::Returning(step) } else { Stage::In }
    }

    fn is_remembered(&self, now: Timestamp) -> bool {
        now < self.until + RETURN_TIME + REMEMBERED_FOR
    }
}

/// What one node keeps of one engine's failures.
#[derive(Debug, Default)]
pub(crate) struct OutlierWatch {
    /// Calls of this node.
    pub(crate) recent: RecentCalls,
    /// When a call of any node was last known to be under way there.
    pub(crate) used_at: Option<Timestamp>,
    ejection: Option<Ejection>,
    spared_until: Option<Timestamp>,
}

impl OutlierWatch {
    /// Where the engine stands.
    pub(crate) fn stage(&self, now: Timestamp) -> Stage {
        if self.is_spared(now) {
            return Stage::Spared;
        }
        self.ejection.map_or(Stage::In, |ejection| ejection.stage(now))
    }

    /// Whether nothing is left to remember.
    pub(crate) fn is_settled(&self, now: Timestamp) -> bool {
        let is_forgotten = self.ejection.is_none_or(|ejection| !ejection.is_remembered(now));
        is_forgotten && !self.is_spared(now) && self.recent.counts(now).failed == 0
    }

    /// Whether a call of this number may go there, while so many of this node are under way there.
    pub(crate) fn admits(&self, call: u64, engine: u32, running: usize, now: Timestamp) -> bool {
        let Some(ejection) = self.ejection else { return true };
        match ejection.stage(now) {
            Stage::In | Stage::Spared => true,
            Stage::Aside => false,
            Stage::Returning(0) if running > 0 => false,
            Stage::Returning(step) => {
                let first_share = FIRST_RETURN_SHARE / ejection.among.max(1) as f64;
                let share = first_share.powf(1.0 - f64::from(step) / f64::from(RETURN_STEPS));
                drawn(call ^ RETURN_SALT, engine) < share
            }
        }
    }

    /// Puts the engine aside, one of so many in use; returns for how long.
    pub(crate) fn put_aside(&mut self, among: usize, now: Timestamp) -> Duration {
        let before = self.ejection.filter(|before| before.is_remembered(now));
        let pause = before.map_or(FIRST_ASIDE, |before| (before.pause * 2).min(LONGEST_ASIDE));
        self.ejection = Some(Ejection { until: now + pause, pause, among, is_over: false });
        pause
    }

    /// The engine gets its calls again at once, and keeps them for a time.
    pub(crate) fn spare(&mut self, now: Timestamp) {
        self.ejection = None;
        self.spared_until = Some(now + SPARED_FOR);
    }

    /// Whether any node had calls there of late.
    pub(crate) fn is_in_use(&self, now: Timestamp) -> bool {
        self.used_at.is_some_and(|used| now.since(used) < IN_USE_FOR)
    }

    fn is_spared(&self, now: Timestamp) -> bool {
        self.spared_until.is_some_and(|until| now < until)
    }

    /// Whether the engine has come back by now and nobody was told.
    pub(crate) fn take_return(&mut self, now: Timestamp) -> bool {
        let Some(ejection) = &mut self.ejection else { return false };
        let has_returned = ejection.stage(now) == Stage::In && !ejection.is_over;
        ejection.is_over |= has_returned;
        has_returned
    }

    /// Whether the engine is put aside, is being brought back, or has come back and nobody was told.
    pub(crate) fn is_out(&self) -> bool {
        self.ejection.is_some_and(|ejection| !ejection.is_over)
    }
}

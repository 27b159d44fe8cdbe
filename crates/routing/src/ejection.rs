//! This node's ejection state of one engine: its recent calls there and the current or last ejection.

use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::choice::rendezvous_fraction;
use crate::outlier::EjectionStage;
use crate::recent_calls::RecentCalls;

/// Duration of the first ejection; doubled each time. Longer than counts from before it can stay in circulation: the
/// window of recent calls (1.6 s), a board's retention (1 s) and the delay of peer reports.
pub const FIRST_EJECTION_TIME: Duration = Duration::from_secs(3);
/// Upper bound of the doubled durations.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(24);
/// Fraction of an engine's fair share that is admitted in the first recovery step. The admitted fraction of all calls
/// grows geometrically from `FIRST_RECOVERY_SHARE / engines_in_use` to 1.
const FIRST_RECOVERY_SHARE: f64 = 0.5;
const RECOVERY_STEPS: u32 = 4;
/// Reports of failures must arrive within one step.
const RECOVERY_STEP_TIME: Duration = Duration::from_millis(750);
/// Total duration of the recovery.
pub const RECOVERY_TIME: Duration = RECOVERY_STEP_TIME.saturating_mul(RECOVERY_STEPS);
/// How long after the recovery another ejection still doubles in length.
const BACKOFF_MEMORY: Duration = Duration::from_secs(60);
/// How long engines are exempt after more of them failed than may be ejected.
const EXEMPTION_TIME: Duration = Duration::from_secs(30);
/// How long an engine counts as in use after its last call.
const IN_USE_TIME: Duration = Duration::from_secs(5);
/// Decorrelates admission to a recovering engine from the calls' engine preference.
const RECOVERY_SALT: u64 = 0x6f75_746c_6965_7273;

/// The current or last ejection of an engine.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Timestamp,
    pause: Duration,
    engines_in_use: usize,
    is_recovery_reported: bool,
}

impl Ejection {
    fn stage(&self, now: Timestamp) -> EjectionStage {
        if now < self.until {
            return EjectionStage::Ejected;
        }
        let step = now.since(self.until).as_micros() / RECOVERY_STEP_TIME.as_micros();
        let step = u32::try_from(step).unwrap_or(u32::MAX);
        if step < RECOVERY_STEPS { EjectionStage::Recovering(step) } else { EjectionStage::Active }
    }

    fn extends_backoff(&self, now: Timestamp) -> bool {
        now < self.until + RECOVERY_TIME + BACKOFF_MEMORY
    }
}

#[derive(Debug, Default)]
pub(crate) struct EjectionState {
    /// Calls of this node.
    pub(crate) recent: RecentCalls,
    /// When any node was last known to have a call in flight at the engine.
    pub(crate) used_at: Option<Timestamp>,
    ejection: Option<Ejection>,
    exempt_until: Option<Timestamp>,
}

impl EjectionState {
    pub(crate) fn stage(&self, now: Timestamp) -> EjectionStage {
        if self.is_exempt(now) {
            return EjectionStage::Exempt;
        }
        self.ejection.map_or(EjectionStage::Active, |ejection| ejection.stage(now))
    }

    /// Whether there is no state left that must be kept.
    pub(crate) fn is_settled(&self, now: Timestamp) -> bool {
        let is_backoff_over = self.ejection.is_none_or(|ejection| !ejection.extends_backoff(now));
        is_backoff_over && !self.is_exempt(now) && self.recent.counts(now).failed == 0
    }

    /// Whether a call may be sent to the engine while this node has `running` calls in flight there.
    pub(crate) fn admits(&self, call: u64, engine: u32, running: usize, now: Timestamp) -> bool {
        let Some(ejection) = self.ejection else { return true };
        match ejection.stage(now) {
            EjectionStage::Active | EjectionStage::Exempt => true,
            EjectionStage::Ejected => false,
            EjectionStage::Recovering(0) if running > 0 => false,
            EjectionStage::Recovering(step) => {
                let first_share = FIRST_RECOVERY_SHARE / ejection.engines_in_use.max(1) as f64;
                let share = first_share.powf(1.0 - f64::from(step) / f64::from(RECOVERY_STEPS));
                rendezvous_fraction(call ^ RECOVERY_SALT, engine) < share
            }
        }
    }

    /// Ejects the engine, one of `engines_in_use`; returns for how long.
    pub(crate) fn eject(&mut self, engines_in_use: usize, now: Timestamp) -> Duration {
        let previous = self.ejection.filter(|previous| previous.extends_backoff(now));
        let pause =
            previous.map_or(FIRST_EJECTION_TIME, |previous| (previous.pause * 2).min(MAX_EJECTION_TIME));
        self.ejection =
            Some(Ejection { until: now + pause, pause, engines_in_use, is_recovery_reported: false });
        pause
    }

    /// Ends the ejection and exempts the engine from another one for a time.
    pub(crate) fn exempt(&mut self, now: Timestamp) {
        self.ejection = None;
        self.exempt_until = Some(now + EXEMPTION_TIME);
    }

    pub(crate) fn is_in_use(&self, now: Timestamp) -> bool {
        self.used_at.is_some_and(|used| now.since(used) < IN_USE_TIME)
    }

    fn is_exempt(&self, now: Timestamp) -> bool {
        self.exempt_until.is_some_and(|until| now < until)
    }

    /// Returns whether the recovery is complete, once for each ejection.
    pub(crate) fn take_recovery(&mut self, now: Timestamp) -> bool {
        let Some(ejection) = &mut self.ejection else { return false };
        let has_recovered = ejection.stage(now) == EjectionStage::Active && !ejection.is_recovery_reported;
        ejection.is_recovery_reported |= has_recovered;
        has_recovered
    }

    /// Whether the engine is ejected or recovering, or its recovery has not been reported yet.
    pub(crate) fn is_restricted(&self) -> bool {
        self.ejection.is_some_and(|ejection| !ejection.is_recovery_reported)
    }
}

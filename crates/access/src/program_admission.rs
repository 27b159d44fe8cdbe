//! Admission of a tenant's programs: a tenant above its limit gets as many whole programs as fit, instead of
//! a part of each.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::quota_window::QuotaLimit;

/// Share of the limit above which new programs are admitted only if their expected calls fit; the rest of the
/// window is kept for those that have started.
const CONGESTED_SHARE: f64 = 0.7;
/// Windows for which a tenant counts as congested after a call over its limit, regardless of its usage.
const CONGESTED_WINDOWS: u32 = 2;
/// Time without a call after which a program is forgotten; longer than the pauses and the slowest tools of
/// programs.
const PROGRAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Programs tracked per tenant. Above that, new programs are not delayed.
const MAX_TRACKED_PROGRAMS: usize = 4096;
/// Assumed calls per program before any was observed.
const PRIOR_CALLS_PER_PROGRAM: f64 = 4.0;
/// Weight of the assumption, in programs.
const PRIOR_WEIGHT: f64 = 10.0;
/// Factors on the number of programs that may start per window: the decrease after a call of a started
/// program was refused, the increase after a window without such a refusal. The increase is multiplicative
/// too, because additive increase would be slow for large tenants.
const DECREASE_FACTOR: f64 = 0.8;
const INCREASE_FACTOR: f64 = 1.05;
/// Maximum number of these changes per window.
const MAX_CHANGES_PER_WINDOW: u32 = 8;

/// Average calls per program, over all tenants that this node decides about.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProgramCallStats {
    programs: f64,
    calls: f64,
}

impl ProgramCallStats {
    /// Counts a call of a program and, if it is the first, the program.
    pub(crate) fn record(&mut self, is_first: bool) {
        self.programs += f64::from(u8::from(is_first));
        self.calls += 1.0;
    }

    /// Average calls per admitted program; at least 1.
    pub(crate) fn mean_calls(&self) -> f64 {
        let prior_calls = PRIOR_WEIGHT * PRIOR_CALLS_PER_PROGRAM;
        ((self.calls + prior_calls) / (self.programs + PRIOR_WEIGHT)).max(1.0)
    }
}

#[derive(Debug)]
pub(crate) struct ProgramAdmission {
    last_call_times: HashMap<u64, Timestamp>,
    /// Programs that may start now. They start evenly, as programs that start together need their calls
    /// together.
    start_tokens: f64,
    refilled_at: Timestamp,
    window: Duration,
    congested_until: Timestamp,
    /// Programs that may start per window; `None` if the tenant was never congested.
    starts_per_window: Option<f64>,
    rate_changed_at: Timestamp,
    /// When a call of a started program was last refused.
    started_refused_at: Timestamp,
    /// Until then new programs are not delayed: this node has just taken over the tenant and does not know
    /// its programs.
    programs_unknown_until: Timestamp,
}

impl ProgramAdmission {
    /// State on a node that decides about the tenant from now on. `is_first` means that no node has done so
    /// recently.
    pub(crate) fn new(window: Duration, is_first: bool, now: Timestamp) -> Self {
        Self {
            last_call_times: HashMap::new(),
            start_tokens: 1.0,
            refilled_at: now,
            window,
            congested_until: Timestamp::default(),
            starts_per_window: None,
            rate_changed_at: Timestamp::default(),
            started_refused_at: Timestamp::default(),
            programs_unknown_until: if is_first { now } else { now + window },
        }
    }

    /// Whether the program has made a call within [`PROGRAM_IDLE_TIMEOUT`].
    pub(crate) fn has_started(&self, program: u64, now: Timestamp) -> bool {
        let last = self.last_call_times.get(&program);
        last.is_some_and(|last| now.since(*last) <= PROGRAM_IDLE_TIMEOUT)
    }

    /// Delay until a program that has not started may start; `None` if it may now. `used` is the number of
    /// calls in the window.
    pub(crate) fn start_delay(
        &mut self,
        used: u64,
        limit: QuotaLimit,
        call_stats: ProgramCallStats,
        now: Timestamp,
    ) -> Option<Duration> {
        let is_congested =
            now < self.congested_until || used as f64 >= limit.max_calls() as f64 * CONGESTED_SHARE;
        if !is_congested
            || now < self.programs_unknown_until
            || self.last_call_times.len() >= MAX_TRACKED_PROGRAMS
        {
            return None;
        }
        let starts_per_window = self.raise_start_rate(limit.sustained_calls() / call_stats.mean_calls(), now);
        self.refill(starts_per_window, limit.burst / call_stats.mean_calls(), now);
        let missing = 1.0 - self.start_tokens;
        (missing > 0.0).then(|| self.window.mul_f64(missing / starts_per_window))
    }

    fn refill(&mut self, starts_per_window: f64, burst: f64, now: Timestamp) {
        let added = starts_per_window * now.since(self.refilled_at).as_secs_f64() / self.window.as_secs_f64();
        self.start_tokens = (self.start_tokens + added).min(burst.max(1.0));
        self.refilled_at = now;
    }

    /// Counts an admitted call; returns whether it starts the program.
    pub(crate) fn record_call(&mut self, program: u64, now: Timestamp) -> bool {
        let is_first = !self.has_started(program, now);
        if is_first {
            self.start_tokens = (self.start_tokens - 1.0).max(0.0);
            self.last_call_times.retain(|_, last| now.since(*last) <= PROGRAM_IDLE_TIMEOUT);
        }
        if is_first && self.last_call_times.len() >= MAX_TRACKED_PROGRAMS {
            return true;
        }
        self.last_call_times.insert(program, now);
        is_first
    }

    /// Whether programs run to their end, so that they show how many calls a program makes.
    pub(crate) fn is_uncongested(&self, now: Timestamp) -> bool {
        now >= self.congested_until
    }

    /// Records a call over the tenant's limit. If its program had started, fewer may start from now on.
    pub(crate) fn record_refusal(&mut self, program: Option<u64>, now: Timestamp) {
        self.congested_until = now + self.window * CONGESTED_WINDOWS;
        let is_started = program.is_some_and(|program| self.has_started(program, now));
        if is_started {
            self.started_refused_at = now;
        }
        if let Some(starts_per_window) =
            self.starts_per_window.filter(|_| is_started && self.can_change_rate(now))
        {
            self.starts_per_window = Some((starts_per_window * DECREASE_FACTOR).max(1.0));
            self.rate_changed_at = now;
        }
    }

    /// Programs that may start per window: `initial_rate` at first, raised as long as no started program is
    /// refused.
    fn raise_start_rate(&mut self, initial_rate: f64, now: Timestamp) -> f64 {
        let starts_per_window = match self.starts_per_window {
            Some(starts_per_window)
                if self.can_change_rate(now) && now.since(self.started_refused_at) >= self.window =>
            {
                self.rate_changed_at = now;
                starts_per_window * INCREASE_FACTOR
            }
            Some(starts_per_window) => starts_per_window,
            None => initial_rate.max(1.0),
        };
        self.starts_per_window = Some(starts_per_window);
        starts_per_window
    }

    fn can_change_rate(&self, now: Timestamp) -> bool {
        now.since(self.rate_changed_at) >= self.window / MAX_CHANGES_PER_WINDOW
    }
}

//! Whether an engine is fit for calls, judged by how its calls end.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Parameters of the circuit breaker.
#[derive(Debug, Clone, Copy)]
pub struct HealthSettings {
    /// Failures in a row that open the circuit.
    pub failures_to_open: u32,
    /// First pause before a trial call.
    pub first_pause: Duration,
    /// Longest pause before a trial call; the pause doubles with each failed trial.
    pub max_pause: Duration,
    /// After a recovery the number of calls allowed at a time grows to the full number over this time.
    pub slow_start: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            failures_to_open: 3,
            first_pause: Duration::from_secs(1),
            max_pause: Duration::from_secs(30),
            slow_start: Duration::from_secs(10),
        }
    }
}

/// What the circuit breaker allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// Calls go through.
    Closed,
    /// No calls until the time given.
    Open(Timestamp),
    /// One trial call is under way.
    Trial,
}

/// Circuit breaker of one engine.
#[derive(Debug, Clone)]
pub struct Health {
    settings: HealthSettings,
    state: HealthState,
    failures: u32,
    pause: Duration,
    recovered: Option<Timestamp>,
}

impl Health {
    /// A healthy engine.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            state: HealthState::Closed,
            failures: 0,
            pause: settings.first_pause,
            recovered: None,
        }
    }

    /// The circuit breaker's state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Calls that may run at a time, of the `full` number.
    pub fn allowed(&self, full: usize, now: Timestamp) -> usize {
        match self.state {
            HealthState::Open(until) if now < until => 0,
            HealthState::Open(_) | HealthState::Trial => 1,
            HealthState::Closed => self.slow_start_share(full, now),
        }
    }

    /// Whether it is as if no call had ever failed: the circuit is closed and the slow start over.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        let is_started = self.recovered.is_none_or(|since| now.since(since) >= self.settings.slow_start);
        self.state == HealthState::Closed && self.failures == 0 && is_started
    }

    /// Notes that a call was sent.
    pub fn sent(&mut self, now: Timestamp) {
        if matches!(self.state, HealthState::Open(until) if now >= until) {
            self.state = HealthState::Trial;
        }
    }

    /// Notes that a call ended well.
    pub fn succeeded(&mut self, now: Timestamp) {
        if self.state != HealthState::Closed {
            self.recovered = Some(now);
        }
        self.state = HealthState::Closed;
        self.failures = 0;
        self.pause = self.settings.first_pause;
    }

    /// Notes that a call failed through the engine's fault.
    pub fn failed(&mut self, now: Timestamp) {
        self.failures += 1;
        let was_trial = self.state == HealthState::Trial;
        if was_trial {
            self.pause = (self.pause * 2).min(self.settings.max_pause);
        }
        if was_trial || self.failures >= self.settings.failures_to_open {
            self.state = HealthState::Open(now + self.pause);
        }
    }

    fn slow_start_share(&self, full: usize, now: Timestamp) -> usize {
        let Some(recovered) = self.recovered else { return full };
        let share = now.since(recovered).as_secs_f64() / self.settings.slow_start.as_secs_f64();
        ((full as f64 * share.min(1.0)).ceil() as usize).max(1)
    }
}

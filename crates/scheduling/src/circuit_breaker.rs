//! Circuit breaker of an engine, driven by the outcomes of its calls.

use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Thresholds and backoff of the circuit breaker.
#[derive(Debug, Clone, Copy)]
pub struct CircuitBreakerSettings {
    /// Consecutive failures after which the circuit opens.
    pub failure_threshold: u32,
    /// Time for which the circuit stays open before the first trial call.
    pub initial_backoff: Duration,
    /// Upper bound on that time, which doubles with each failed trial call.
    pub max_backoff: Duration,
    /// Time after a recovery over which the concurrency limit grows linearly to its full value.
    pub slow_start: Duration,
}

impl Default for CircuitBreakerSettings {
    fn default() -> Self {
        Self {
            failure_threshold: 3,
            initial_backoff: Duration::from_secs(1),
            max_backoff: Duration::from_secs(30),
            slow_start: Duration::from_secs(10),
        }
    }
}

/// State of the circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CircuitState {
    /// Calls are admitted.
    Closed,
    /// No call is admitted before this time.
    Open(Timestamp),
    /// One trial call is in flight.
    HalfOpen,
}

/// Circuit breaker of one engine.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    settings: CircuitBreakerSettings,
    state: CircuitState,
    consecutive_failures: u32,
    backoff: Duration,
    recovered_at: Option<Timestamp>,
}

impl CircuitBreaker {
    /// Starts closed, at the full concurrency limit.
    pub fn new(settings: CircuitBreakerSettings) -> Self {
        Self {
            settings,
            state: CircuitState::Closed,
            consecutive_failures: 0,
            backoff: settings.initial_backoff,
            recovered_at: None,
        }
    }

    /// The state after the last recorded event: an open circuit whose backoff has passed stays `Open` until a call is sent.
    pub fn state(&self) -> CircuitState {
        self.state
    }

    /// Number of calls that may be in flight, out of a limit of `full`.
    pub fn allowed(&self, full: usize, now: Timestamp) -> usize {
        match self.state {
            CircuitState::Open(until) if now < until => 0,
            CircuitState::Open(_) | CircuitState::HalfOpen => 1,
            CircuitState::Closed => self.slow_start_limit(full, now),
        }
    }

    /// Whether no effect of past failures is left: the circuit is closed, the last call succeeded and the slow start is over.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        let is_started = self.recovered_at.is_none_or(|since| now.since(since) >= self.settings.slow_start);
        self.state == CircuitState::Closed && self.consecutive_failures == 0 && is_started
    }

    /// Records that a call was sent; the first one after the backoff is the trial call.
    pub fn sent(&mut self, now: Timestamp) {
        if matches!(self.state, CircuitState::Open(until) if now >= until) {
            self.state = CircuitState::HalfOpen;
        }
    }

    /// Records a successful call, which closes the circuit.
    pub fn succeeded(&mut self, now: Timestamp) {
        if self.state != CircuitState::Closed {
            self.recovered_at = Some(now);
        }
        self.state = CircuitState::Closed;
        self.consecutive_failures = 0;
        self.backoff = self.settings.initial_backoff;
    }

    /// Records a call that failed through the engine's fault.
    pub fn failed(&mut self, now: Timestamp) {
        self.consecutive_failures += 1;
        let was_trial = self.state == CircuitState::HalfOpen;
        if was_trial {
            self.backoff = (self.backoff * 2).min(self.settings.max_backoff);
        }
        if was_trial || self.consecutive_failures >= self.settings.failure_threshold {
            self.state = CircuitState::Open(now + self.backoff);
        }
    }

    fn slow_start_limit(&self, full: usize, now: Timestamp) -> usize {
        let Some(recovered_at) = self.recovered_at else { return full };
        let share = now.since(recovered_at).as_secs_f64() / self.settings.slow_start.as_secs_f64();
        ((full as f64 * share.min(1.0)).ceil() as usize).max(1)
    }
}

//! State machine of a call on the node that received it.

use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{Ran, ResultCode, Timestamp};

use crate::head::{EngineId, EngineVersion};
use crate::rules::CallRules;

/// Engines that may reject a call before it is rejected with a retry delay.
const MAX_REJECTIONS: usize = 3;
/// Attempts that may end before the request is sent, such as failed connections.
const MAX_UNSENT_ATTEMPTS: usize = 4;
/// Retries after attempts that may have run, including resumptions of a stream.
const MAX_RETRIES_AFTER_RUN: usize = 4;
/// Engines that may crash in succession under one request, over all calls that its caller makes for it.
pub const MAX_CRASHES: usize = 3;
/// Retry delay while it is being found out whether engines have crashed under a request.
const SUSPICION_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry delay sent to a refused caller if no engine specified one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Time reserved for the run of a call while it waits for admission, at most half of the remaining time.
const RUN_TIME_RESERVE: Duration = Duration::from_millis(900);

/// How an attempt at an engine failed.
#[allow(missing_docs)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The engine rejected the call and has not run it.
    Rejected {
        /// Delay requested by the engine.
        retry_after: Option<Duration>,
    },
    /// A different engine answered at the address; it has not run the call.
    WrongEngine,
    /// The request was sent and no reliable answer came back.
    Lost,
    /// The request was sent, no reliable answer came back, and the engine accepts no connections any more.
    Crashed,
    /// The response is not a valid answer to this call.
    Spoiled,
    /// The engine ran the call and answered with a server error.
    ServerError,
    /// The engine became ineligible after it was chosen; no byte was sent.
    Withheld,
}

/// Engines that crashed in succession under one request, over all calls for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashCount {
    /// Engines that have crashed.
    pub confirmed: usize,
    /// Engines that may have crashed: they lost the request and have shown no sign of life since.
    pub suspected: usize,
    /// Engines that lost the request and have shown a sign of life since. They may still crash because of it.
    pub observed: usize,
    /// Attempts of the same turn that have not ended, or of another request that may have been lost together with their edge.
    /// The engine of each may have crashed.
    pub open_attempts: usize,
}

impl CrashCount {
    /// Engines that have crashed or may have.
    pub fn total(self) -> usize {
        self.confirmed + self.suspected + self.open_attempts
    }

    /// Whether no engine has lost the request.
    pub fn is_empty(self) -> bool {
        self.total() + self.observed == 0
    }

    /// Whether the request may be sent to no other engine, at least while the suspicions last. Once a request has crashed an
    /// engine, those that failed it before may follow.
    pub fn has_reached_limit(self) -> bool {
        self.limited() >= MAX_CRASHES
    }

    /// Whether the next engine has to be reported before it gets the request: the request has crashed one, or one more crash
    /// reaches the limit.
    pub fn is_close_to_limit(self) -> bool {
        let is_close = self.confirmed > 0 || self.limited() + 1 == MAX_CRASHES;
        is_close && !self.has_reached_limit()
    }

    fn limited(self) -> usize {
        let may_follow = if self.confirmed > 0 { self.observed } else { 0 };
        self.total() + may_follow
    }

    /// The same with the attempts of the turn that have not ended.
    #[must_use]
    pub fn with_open_attempts(self, open_attempts: usize) -> Self {
        Self { open_attempts, ..self }
    }

    /// The same if an attempt may have been lost together with its edge. It counts only for a request that has crashed an
    /// engine.
    #[must_use]
    pub fn with_lost_attempt(self) -> Self {
        self.with_open_attempts(usize::from(self.confirmed > 0))
    }

    /// Why the request is sent to no other engine.
    fn result_code(self) -> ResultCode {
        if self.confirmed >= MAX_CRASHES {
            ResultCode::RequestCrashesEngines
        } else {
            ResultCode::RequestMayCrashEngines
        }
    }
}

/// What has been sent to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting,
    /// The head of a stream and possibly events.
    Streaming,
}

/// The next step of the driver.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Send the call to an engine.
    Try {
        /// Engines that rejected the call and must not be chosen.
        avoid: Vec<EngineId>,
        /// Engines that failed the call, to be chosen only if there is no other.
        rather_not: Vec<EngineId>,
        /// The only engine that may be chosen, if set.
        only: Option<EngineId>,
        /// The software version that the engine must have, if set.
        version: Option<EngineVersion>,
    },
    /// Respond that the call has not run.
    Refuse {
        code: ResultCode,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// Respond that the call failed and may have run.
    Fail { code: ResultCode },
    /// Abort the answer, part of which has been sent.
    BreakOff { code: ResultCode },
}

/// State machine of a call. The driver reports events; methods that return [`Next`] decide how to continue.
#[derive(Debug, Clone)]
pub struct CallMachine {
    rules: CallRules,
    deadline: Timestamp,
    stage: Stage,
    in_flight: Option<EngineId>,
    may_have_run: Vec<EngineId>,
    /// Engines that crashed while they ran this call.
    own_crashes: usize,
    /// Crashes under the request, in this call or in earlier ones.
    crashes: CrashCount,
    may_resume: bool,
    /// Software version that began the stream; other versions can't continue it.
    stream_version: Option<EngineVersion>,
    excluded_engines: Vec<EngineId>,
    unsent_attempts: usize,
    rejections: usize,
    retries_after_run: usize,
    retry_after: Option<Duration>,
    last_event: Option<String>,
    events: u64,
}

impl CallMachine {
    /// Creates the state of a call received at `now`. The deadline is the shorter of the caller's and the configured
    /// timeout.
    pub fn new(rules: CallRules, caller_timeout: Option<Duration>, now: Timestamp) -> Self {
        let effective_timeout =
            caller_timeout.map_or(rules.timeout, |caller_timeout| caller_timeout.min(rules.timeout));
        Self {
            rules,
            deadline: now + effective_timeout,
            stage: Stage::Waiting,
            in_flight: None,
            may_have_run: Vec::new(),
            own_crashes: 0,
            crashes: CrashCount::default(),
            may_resume: true,
            stream_version: None,
            excluded_engines: Vec::new(),
            unsent_attempts: 0,
            rejections: 0,
            retries_after_run: 0,
            retry_after: None,
            last_event: None,
            events: 0,
        }
    }

    /// When the call times out.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// How long the call may wait for admission, so that time is left for its run.
    pub fn admission_deadline(&self, now: Timestamp) -> Timestamp {
        let left = self.deadline.since(now);
        self.deadline - RUN_TIME_RESERVE.min(left / 2)
    }

    /// Number of events sent to the caller.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Id of the last event sent, after which the stream must be resumed; `None` if no event had an id.
    pub fn resume_after(&self) -> Option<&str> {
        self.last_event.as_deref()
    }

    /// Number of engines that may have run the call.
    pub fn possible_runs(&self) -> usize {
        self.may_have_run.len()
    }

    /// Number of attempts that were rejected or could not be sent.
    pub fn attempts_not_run(&self) -> usize {
        self.rejections + self.unsent_attempts
    }

    /// The first step.
    pub fn begin(&self, now: Timestamp) -> Next {
        if now >= self.deadline { self.end_expired() } else { self.next_attempt() }
    }

    /// Ends the call before it is sent, if as many engines as allowed crashed under its request before.
    pub fn end_at_crash_limit(&self) -> Option<Next> {
        self.has_reached_crash_limit()
            .then(|| self.end_quarantined(SUSPICION_RETRY_DELAY, self.crashes.result_code()))
    }

    /// Records that the call is being sent to an engine, which may run it from now on.
    pub fn record_sent(&mut self, engine: &EngineId) {
        self.in_flight = Some(engine.clone());
    }

    /// Whether a call without an answer may have run.
    pub fn ran(&self) -> Ran {
        let is_unsent = self.may_have_run.is_empty() && self.in_flight.is_none();
        if is_unsent || is_broken(Rule::SentCallsAreNotReportedAsNotRun) { Ran::No } else { Ran::Unknown }
    }

    /// Records the crashes that are known under the request, in all calls for it. Suspicions replace earlier ones, which may
    /// have been withdrawn; open attempts are known from the admission of the turn only.
    pub fn record_known_crashes(&mut self, known: CrashCount) {
        self.crashes = CrashCount {
            confirmed: self.crashes.confirmed.max(known.confirmed),
            open_attempts: self.crashes.open_attempts.max(known.open_attempts),
            ..known
        };
    }

    /// Whether the engine may have run the call.
    pub fn may_have_run_at(&self, engine: &EngineId) -> bool {
        self.may_have_run.contains(engine)
    }

    /// Crashes under the request, as far as known.
    pub fn crashes(&self) -> CrashCount {
        self.crashes
    }

    /// Whether so many engines crashed under the request, or may have, that it may be sent to no other.
    pub fn has_reached_crash_limit(&self) -> bool {
        self.crashes.has_reached_limit() && !is_broken(Rule::CrashLimitEndsCall)
    }

    /// Excludes an engine from all further attempts.
    pub fn exclude_engine(&mut self, engine: &EngineId) {
        self.excluded_engines.push(engine.clone());
    }

    /// Forbids retries, because another engine's answer can't continue what was sent to the caller.
    pub fn forbid_resumption(&mut self) {
        self.may_resume = false;
    }

    /// Restricts all further attempts to engines of the software version that began the stream. The first call counts.
    pub fn bind_stream(&mut self, version: &EngineVersion) {
        self.stream_version.get_or_insert_with(|| version.clone());
    }

    /// The software version to which the stream is bound.
    pub fn stream_version(&self) -> Option<&EngineVersion> {
        self.stream_version.as_ref()
    }

    /// Records that an engine of this version began the stream, and that its head was sent to the caller.
    pub fn record_head_sent(&mut self, version: &EngineVersion) {
        self.stage = Stage::Streaming;
        self.bind_stream(version);
    }

    /// Records that an event was sent to the caller.
    pub fn record_event_sent(&mut self, id: Option<String>) {
        self.events += 1;
        if id.is_some() {
            self.last_event = id;
        }
    }

    /// Ends the call because no engine can be chosen.
    pub fn end_without_engine(&self, code: ResultCode) -> Next {
        self.finish(code)
    }

    /// Rejects the call, which was not sent, because there is no capacity for it.
    pub fn reject_overloaded(&self, retry_after: Duration) -> Next {
        Next::Refuse { code: ResultCode::Overloaded, retry_after }
    }

    /// Ends the call because its request is in quarantine for this long, and what that rests on.
    pub fn end_quarantined(&self, remaining: Duration, code: ResultCode) -> Next {
        match self.finish(code) {
            Next::Refuse { code, .. } => Next::Refuse { code, retry_after: remaining },
            next => next,
        }
    }

    /// Ends the call because its caller's access was denied.
    pub fn end_denied(&self, code: ResultCode) -> Next {
        self.finish(code)
    }

    /// Ends the call because its deadline has passed.
    pub fn end_expired(&self) -> Next {
        self.finish(ResultCode::DeadlineExceeded)
    }

    /// Records a failed attempt and returns the next step.
    pub fn record_failure(&mut self, engine: &EngineId, failure: Failure, now: Timestamp) -> Next {
        self.update_attempts(engine, failure);
        if self.has_reached_crash_limit() {
            return self.finish(self.crashes.result_code());
        }
        if now >= self.deadline {
            return self.end_expired();
        }
        match failure {
            Failure::Withheld => self.next_attempt(),
            Failure::NotSent if self.unsent_attempts < MAX_UNSENT_ATTEMPTS => self.next_attempt(),
            Failure::NotSent => self.finish(ResultCode::BackEndUnreachable),
            Failure::Rejected { .. } | Failure::WrongEngine if self.rejections < MAX_REJECTIONS => {
                self.next_attempt()
            }
            Failure::Rejected { .. } | Failure::WrongEngine => self.finish(ResultCode::Overloaded),
            Failure::Lost | Failure::Crashed => self.retry_after_possible_run(ResultCode::BackEndCut),
            Failure::Spoiled => self.retry_after_possible_run(ResultCode::BackEndGarbage),
            Failure::ServerError => self.retry_after_possible_run(ResultCode::BackEndRefused),
        }
    }

    fn update_attempts(&mut self, engine: &EngineId, failure: Failure) {
        self.in_flight = None;
        match failure {
            // Engine selection already excludes this engine.
            Failure::Withheld => {}
            Failure::NotSent => {
                self.unsent_attempts += 1;
                self.excluded_engines.push(engine.clone());
            }
            Failure::Rejected { retry_after } => {
                self.rejections += 1;
                self.retry_after = retry_after.or(self.retry_after);
                self.excluded_engines.push(engine.clone());
            }
            Failure::WrongEngine => {
                self.rejections += 1;
                self.excluded_engines.push(engine.clone());
            }
            Failure::Crashed => {
                self.own_crashes += 1;
                self.crashes.confirmed = self.crashes.confirmed.max(self.own_crashes);
                self.excluded_engines.push(engine.clone());
                self.record_possible_run(engine);
            }
            Failure::Lost | Failure::Spoiled | Failure::ServerError => self.record_possible_run(engine),
        }
    }

    fn record_possible_run(&mut self, engine: &EngineId) {
        if !self.may_have_run.contains(engine) {
            self.may_have_run.push(engine.clone());
        }
    }

    /// Whether the call, if `engine` fails it, may be sent to an engine that has not run it.
    pub fn may_run_elsewhere(&self, engine: &EngineId) -> bool {
        let other_runs = self.may_have_run.iter().filter(|ran| *ran != engine).count();
        self.rules.kind.may_run_again() && self.may_resume && other_runs + 1 < self.rules.max_engines
    }

    fn retry_after_possible_run(&mut self, code: ResultCode) -> Next {
        if !self.rules.kind.may_run_again() || !self.may_resume {
            return self.finish(code);
        }
        self.retries_after_run += 1;
        // After an event was sent, only a stream whose events have ids can be resumed.
        let can_resume = self.stage == Stage::Waiting || self.last_event.is_some() || self.events == 0;
        if self.retries_after_run > MAX_RETRIES_AFTER_RUN || !can_resume {
            return self.finish(code);
        }
        self.next_attempt()
    }

    /// Tries another engine, or the last one again if `max_engines` is reached and the rules allow it.
    fn next_attempt(&self) -> Next {
        let version = self.stream_version.clone();
        if self.may_have_run.len() < self.rules.max_engines {
            let (avoid, rather_not) = (self.excluded_engines.clone(), self.may_have_run.clone());
            return Next::Try { avoid, rather_not, only: None, version };
        }
        match self.may_have_run.last() {
            Some(last) if self.rules.returns_to_last && !self.excluded_engines.contains(last) => {
                Next::Try { avoid: Vec::new(), rather_not: Vec::new(), only: Some(last.clone()), version }
            }
            _ => self.finish(ResultCode::BackEndCut),
        }
    }

    fn finish(&self, code: ResultCode) -> Next {
        if self.stage == Stage::Streaming {
            return Next::BreakOff { code };
        }
        if self.ran() == Ran::No {
            let retry_after = self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            return Next::Refuse { code, retry_after };
        }
        Next::Fail { code }
    }
}

//! The state machine of one call at the node that took it from its caller.

use std::time::Duration;

use sumacdrift_mutants::{Rule, is_broken};
use sumacdrift_types::{Ran, ResultCode, Timestamp};

use crate::head::EngineId;
use crate::rules::CallRules;

/// Engines that may turn a call away before it is refused.
const MAX_REJECTIONS: usize = 3;
/// Engines that may fail to take a connection before the call is refused.
const MAX_UNSENT: usize = 4;
/// Times that a stream is taken up within one answer.
const MAX_RESUMPTIONS: usize = 4;
/// What a refused caller is told to wait where no engine said anything.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Time of a call that is kept for its run while its admission is waited for, where there is that much.
const RUN_RESERVE: Duration = Duration::from_millis(900);

/// How an attempt at an engine failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The engine said that it did not and will not run the call.
    Rejected {
        /// When it wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// Another engine has the address; it did not run the call.
    WrongEngine,
    /// The request was sent and nothing that can be trusted came back.
    Lost,
    /// What came back is not the engine's answer to this call.
    Spoiled,
    /// The engine ran it and answered with a server's error.
    ServerError,
    /// The engine may not get the call any more since it was chosen; no byte was sent.
    Withheld,
}

/// What has been given to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing.
    Waiting,
    /// The head of a stream and maybe events.
    Streaming,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Send the call to an engine.
    Try {
        /// Engines that turned the call away and must not be chosen again.
        avoid: Vec<EngineId>,
        /// Engines that failed it, to be chosen again only if there is no other.
        rather_not: Vec<EngineId>,
        /// The only engine that may be chosen, where no further one may run the call.
        only: Option<EngineId>,
    },
    /// Say that the call has not run.
    Refuse {
        /// Why.
        code: ResultCode,
        /// When to come back.
        retry_after: Duration,
    },
    /// Say that the call failed and may have run.
    Fail {
        /// Why.
        code: ResultCode,
    },
    /// Break the answer off, which has begun.
    BreakOff {
        /// Why.
        code: ResultCode,
    },
}

/// The state machine of one call.
#[derive(Debug, Clone)]
pub struct CallMachine {
    rules: CallRules,
    deadline: Timestamp,
    stage: Stage,
    under_way: Option<EngineId>,
    may_have_run: Vec<EngineId>,
    may_resume: bool,
    turned_away: Vec<EngineId>,
    unsent: usize,
    rejections: usize,
    resumptions: usize,
    retry_after: Option<Duration>,
    last_event: Option<String>,
    events: u64,
}

impl CallMachine {
    /// A call accepted at `now` from a caller that waits for `caller_waits`.
    pub fn new(rules: CallRules, caller_waits: Option<Duration>, now: Timestamp) -> Self {
        let held = caller_waits.map_or(rules.timeout, |waits| waits.min(rules.timeout));
        Self {
            rules,
            deadline: now + held,
            stage: Stage::Waiting,
            under_way: None,
            may_have_run: Vec::new(),
            may_resume: true,
            turned_away: Vec::new(),
            unsent: 0,
            rejections: 0,
            resumptions: 0,
            retry_after: None,
            last_event: None,
            events: 0,
        }
    }

    /// When the call is given up.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Until when the call's admission may be waited for, so that time is left for its run.
    pub fn admission_deadline(&self, now: Timestamp) -> Timestamp {
        let left = self.deadline.since(now);
        self.deadline - RUN_RESERVE.min(left / 2)
    }

    /// Events given to the caller.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// The event after which the stream must be taken up; `None` before the first one.
    pub fn resume_after(&self) -> Option<&str> {
        self.last_event.as_deref()
    }

    /// Attempts that an engine may have run.
    pub fn runs(&self) -> usize {
        self.may_have_run.len()
    }

    /// Engines that turned the call away or could not be reached.
    pub fn misses(&self) -> usize {
        self.rejections + self.unsent
    }

    /// The first thing to do.
    pub fn begin(&self, now: Timestamp) -> Next {
        if now >= self.deadline { self.expired() } else { self.another_try() }
    }

    /// The call is being sent to an engine, which may run it from now on.
    pub fn sent(&mut self, engine: &EngineId) {
        self.under_way = Some(engine.clone());
    }

    /// What can be said of whether the call has run, unless it was answered.
    pub fn ran(&self) -> Ran {
        let is_unsent = self.may_have_run.is_empty() && self.under_way.is_none();
        if is_unsent || is_broken(Rule::SentIsNeverNotRun) { Ran::No } else { Ran::Unknown }
    }

    /// What the caller was given can't be followed by another engine's answer.
    pub fn forbid_resumption(&mut self) {
        self.may_resume = false;
    }

    /// The head of a stream was given to the caller.
    pub fn head_given(&mut self) {
        self.stage = Stage::Streaming;
    }

    /// An event was given to the caller.
    pub fn event_given(&mut self, id: Option<String>) {
        self.events += 1;
        if id.is_some() {
            self.last_event = id;
        }
    }

    /// No engine can be chosen, for this reason.
    pub fn no_engine(&self, code: ResultCode) -> Next {
        self.give_up(code)
    }

    /// There is no room for the call; it was not sent.
    pub fn no_room(&self, retry_after: Duration) -> Next {
        Next::Refuse { code: ResultCode::Overloaded, retry_after }
    }

    /// The caller is not admitted any more.
    pub fn denied(&self, code: ResultCode) -> Next {
        self.give_up(code)
    }

    /// The call's time is over.
    pub fn expired(&self) -> Next {
        self.give_up(ResultCode::DeadlineExceeded)
    }

    /// An attempt failed.
    pub fn failed(&mut self, engine: &EngineId, failure: Failure, now: Timestamp) -> Next {
        self.note(engine, failure);
        if now >= self.deadline {
            return self.expired();
        }
        match failure {
            Failure::Withheld => self.another_try(),
            Failure::NotSent if self.unsent < MAX_UNSENT => self.another_try(),
            Failure::NotSent => self.give_up(ResultCode::BackEndUnreachable),
            Failure::Rejected { .. } | Failure::WrongEngine if self.rejections < MAX_REJECTIONS => {
                self.another_try()
            }
            Failure::Rejected { .. } | Failure::WrongEngine => self.give_up(ResultCode::Overloaded),
            Failure::Lost => self.after_a_run(ResultCode::BackEndCut),
            Failure::Spoiled => self.after_a_run(ResultCode::BackEndGarbage),
            Failure::ServerError => self.after_a_run(ResultCode::BackEndRefused),
        }
    }

    fn note(&mut self, engine: &EngineId, failure: Failure) {
        self.under_way = None;
        match failure {
            // Whoever chooses knows that it may not be chosen again.
            Failure::Withheld => {}
            Failure::NotSent => {
                self.unsent += 1;
                self.turned_away.push(engine.clone());
            }
            Failure::Rejected { retry_after } => {
                self.rejections += 1;
                self.retry_after = retry_after.or(self.retry_after);
                self.turned_away.push(engine.clone());
            }
            Failure::WrongEngine => {
                self.rejections += 1;
                self.turned_away.push(engine.clone());
            }
            Failure::Lost | Failure::Spoiled | Failure::ServerError => {
                if !self.may_have_run.contains(engine) {
                    self.may_have_run.push(engine.clone());
                }
            }
        }
    }

    /// Whether a call that an engine failed may go to one that has not run it.
    pub fn may_run_elsewhere(&self, engine: &EngineId) -> bool {
        let others = self.may_have_run.iter().filter(|ran| *ran != engine).count();
        self.rules.kind.may_run_again() && self.may_resume && others + 1 < self.rules.max_engines
    }

    fn after_a_run(&mut self, code: ResultCode) -> Next {
        if !self.rules.kind.may_run_again() || !self.may_resume {
            return self.give_up(code);
        }
        self.resumptions += 1;
        // Once an event was given, only a stream that can be taken up behind it may go on.
        let can_go_on = self.stage == Stage::Waiting || self.last_event.is_some() || self.events == 0;
        if self.resumptions > MAX_RESUMPTIONS || !can_go_on {
            return self.give_up(code);
        }
        self.another_try()
    }

    /// Another engine, or the last one again where no further engine may run the call.
    fn another_try(&self) -> Next {
        if self.may_have_run.len() < self.rules.max_engines {
            let (avoid, rather_not) = (self.turned_away.clone(), self.may_have_run.clone());
            return Next::Try { avoid, rather_not, only: None };
        }
        match self.may_have_run.last() {
            Some(last) if self.rules.returns_to_last && !self.turned_away.contains(last) => {
                Next::Try { avoid: Vec::new(), rather_not: Vec::new(), only: Some(last.clone()) }
            }
            _ => self.give_up(ResultCode::BackEndCut),
        }
    }

    fn give_up(&self, code: ResultCode) -> Next {
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

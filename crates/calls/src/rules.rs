//! What the configuration allows for a call.

use std::time::Duration;

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run any number of times.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answers with events; runs at most once unless it may be taken up after an event.
    Stream {
        /// Whether it may be taken up at any engine.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a run that may have happened can be followed by another.
    pub fn may_run_again(self) -> bool {
        matches!(self, CallKind::Repeatable | CallKind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// What the configuration allows for a call.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRules {
    /// What may be repeated.
    pub kind: CallKind,
    /// Most engines that may run it.
    pub max_engines: usize,
    /// Whether the last engine may run it again where no further one may.
    pub returns_to_last: bool,
    /// Longest time that it is held.
    pub timeout: Duration,
    /// Time within which an answer (a stream's first event) should come.
    pub aim: Duration,
    /// Rank; 0 is highest.
    pub priority: u32,
}

//! Retry rules of a call.

use std::time::Duration;

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Idempotent: may run any number of times.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answered by a stream of events; runs at most once unless it is resumable.
    Stream {
        /// Whether any engine can resume the stream after an event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether the call may run again after an attempt that may have run.
    pub fn may_run_again(self) -> bool {
        matches!(self, CallKind::Repeatable | CallKind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// Configured rules of a call.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq)]
pub struct CallRules {
    pub kind: CallKind,
    /// Maximum number of engines that may run the call.
    pub max_engines: usize,
    /// Whether the last engine may run the call again once `max_engines` is reached.
    pub returns_to_last: bool,
    /// Maximum duration of the call; the caller's timeout may shorten it.
    pub timeout: Duration,
    /// Target latency of the answer, or of a stream's first event.
    pub aim: Duration,
    /// 0 is the highest priority.
    pub priority: u32,
}

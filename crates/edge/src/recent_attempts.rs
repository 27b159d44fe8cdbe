//! Attempts at engines that have ended in one way or another, and to which the end of their engine would be attributed.

use std::collections::VecDeque;
use std::time::Duration;

use sumacdrift_calls::EngineId;
use sumacdrift_quarantine::OBSERVATION_TIME;
use sumacdrift_types::Timestamp;

use crate::engine_crash::SentCall;

/// How long after a complete answer the end of its engine is attributed to the request. Longer than a worker takes to bring
/// its server down; an engine that ends later has most likely ended for another reason.
const ANSWERED_TIME: Duration = Duration::from_secs(1);
/// Maximum number of attempts of each kind, about 2 MB. The oldest gives way.
const MAX_ATTEMPTS: usize = 4096;

/// The latest attempts, in the order in which they ended.
#[derive(Debug, Default)]
pub(crate) struct RecentAttempts {
    /// Attempts that may have run and got no complete answer.
    lost: VecDeque<SentCall>,
    answered: VecDeque<SentCall>,
}

impl RecentAttempts {
    /// Adds an attempt without a complete answer, in place of an earlier one of the same request at the same engine; returns
    /// the attempt that gives way, if there are too many.
    pub(crate) fn add_lost(&mut self, call: SentCall) -> Option<SentCall> {
        self.remove_lost(&call);
        push(&mut self.lost, call)
    }

    /// Removes the attempt of a request at an engine that got no complete answer.
    pub(crate) fn remove_lost(&mut self, call: &SentCall) {
        self.lost.retain(|lost| lost.request != call.request || lost.engine != call.engine);
    }

    /// Adds an attempt with a complete answer; returns the one that gives way, if there are too many.
    pub(crate) fn add_answered(&mut self, call: SentCall) -> Option<SentCall> {
        push(&mut self.answered, call)
    }

    /// Removes and returns the attempts at an engine that has ended, one for each request, without those that it has outlived.
    pub(crate) fn take(&mut self, engine: &EngineId, now: Timestamp) -> Vec<SentCall> {
        let mut taken: Vec<SentCall> = Vec::new();
        for (attempts, time) in [(&mut self.lost, OBSERVATION_TIME), (&mut self.answered, ANSWERED_TIME)] {
            attempts.retain(|call| {
                let is_taken = call.engine == *engine && !is_outlived(call, time, now);
                if is_taken && taken.iter().all(|known| known.request != call.request) {
                    taken.push(call.clone());
                }
                !is_taken
            });
        }
        taken
    }

    /// Removes the attempts that their engines have outlived; returns those with a complete answer.
    pub(crate) fn expire(&mut self, now: Timestamp) -> Vec<SentCall> {
        let lost = self.lost.partition_point(|call| is_outlived(call, OBSERVATION_TIME, now));
        self.lost.drain(..lost);
        let answered = self.answered.partition_point(|call| is_outlived(call, ANSWERED_TIME, now));
        self.answered.drain(..answered).collect()
    }

    /// Whether an attempt at an engine got no complete answer.
    pub(crate) fn has_lost_at(&self, engine: &EngineId) -> bool {
        self.lost.iter().any(|call| call.engine == *engine)
    }

    /// Whether the end of an engine would be attributed to any request.
    pub(crate) fn has_any_at(&self, engine: &EngineId) -> bool {
        self.has_lost_at(engine) || self.answered.iter().any(|call| call.engine == *engine)
    }

    /// Number of attempts with a complete answer.
    pub(crate) fn answered(&self) -> usize {
        self.answered.len()
    }

    /// Number of attempts without a complete answer.
    pub(crate) fn lost(&self) -> usize {
        self.lost.len()
    }
}

fn is_outlived(call: &SentCall, time: Duration, now: Timestamp) -> bool {
    now.since(call.ended) >= time
}

fn push(attempts: &mut VecDeque<SentCall>, call: SentCall) -> Option<SentCall> {
    let evicted = if attempts.len() >= MAX_ATTEMPTS { attempts.pop_front() } else { None };
    attempts.push_back(call);
    evicted
}

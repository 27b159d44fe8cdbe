//! An engine that admits in the order of arrival.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use super::plan::{CALL_TIME, ENGINE_QUEUE, ENGINE_SLOTS};

/// What a full engine adds to a call's time, as a share of it.
const STRETCH: f64 = 0.2;

/// An engine.
pub struct Engine {
    slowness: f64,
    running: BTreeSet<usize>,
    queue: VecDeque<usize>,
}

impl Engine {
    /// An idle engine on which calls take so many times as long as usual.
    pub fn new(slowness: f64) -> Self {
        Self { slowness, running: BTreeSet::new(), queue: VecDeque::new() }
    }

    /// Calls that it holds.
    pub fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Takes a call if it holds less than it can.
    pub fn takes(&mut self, call: usize) -> bool {
        let has_place = self.load() < ENGINE_SLOTS + ENGINE_QUEUE;
        if has_place {
            self.queue.push_back(call);
        }
        has_place
    }

    /// A call ended, or its caller left.
    pub fn remove(&mut self, call: usize) {
        self.running.remove(&call);
        self.queue.retain(|queued| *queued != call);
    }

    /// The next call for which there is a slot.
    pub fn next(&mut self) -> Option<usize> {
        if self.running.len() >= ENGINE_SLOTS {
            return None;
        }
        let call = self.queue.pop_front()?;
        self.running.insert(call);
        Some(call)
    }

    /// How long a call takes that begins now, before chance.
    pub fn call_time(&self) -> Duration {
        let fullness = self.running.len() as f64 / ENGINE_SLOTS as f64;
        CALL_TIME.mul_f64(self.slowness * (1.0 + STRETCH * fullness))
    }
}

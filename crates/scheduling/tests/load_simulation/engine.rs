//! Simulated engine that serves calls in order of arrival.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use super::scenario::{CALL_TIME, ENGINE_QUEUE, ENGINE_SLOTS};

/// Slowdown of calls at a full engine, as a fraction of their duration.
const FULL_LOAD_SLOWDOWN: f64 = 0.2;

pub struct Engine {
    slowness: f64,
    running: BTreeSet<usize>,
    queue: VecDeque<usize>,
}

impl Engine {
    /// Creates an idle engine on which calls take `slowness` times as long as usual.
    pub fn new(slowness: f64) -> Self {
        Self { slowness, running: BTreeSet::new(), queue: VecDeque::new() }
    }

    /// Calls running and queued.
    pub fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Queues a call; `false` if the engine is full.
    pub fn try_enqueue(&mut self, call: usize) -> bool {
        let has_space = self.load() < ENGINE_SLOTS + ENGINE_QUEUE;
        if has_space {
            self.queue.push_back(call);
        }
        has_space
    }

    /// Removes a call that ended or whose caller left.
    pub fn remove(&mut self, call: usize) {
        self.running.remove(&call);
        self.queue.retain(|queued| *queued != call);
    }

    /// Moves the next queued call to a free slot.
    pub fn start_next(&mut self) -> Option<usize> {
        if self.running.len() >= ENGINE_SLOTS {
            return None;
        }
        let call = self.queue.pop_front()?;
        self.running.insert(call);
        Some(call)
    }

    /// Duration of a call that starts now, before random variation.
    pub fn call_time(&self) -> Duration {
        let utilization = self.running.len() as f64 / ENGINE_SLOTS as f64;
        CALL_TIME.mul_f64(self.slowness * (1.0 + FULL_LOAD_SLOWDOWN * utilization))
    }
}

//! What the stand-ins saw: the evidence against which guarantees are checked.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sumacdrift_types::{EngineName, Timestamp};

use crate::BlockHash;

/// One request that reached an engine.
#[derive(Debug, Clone)]
pub struct EngineRun {
    /// The engine.
    pub engine: EngineName,
    /// The request id that the system sent along.
    pub call: String,
    /// The program that the system named.
    pub program: String,
    /// Tokens of the prompt, without the part of an answer that it continues.
    pub prompt_tokens: u64,
    /// When it arrived.
    pub started: Timestamp,
    /// When its answer was complete; `None` while it runs or where it was cut.
    pub finished: Option<Timestamp>,
}

/// All requests that reached engines, in order of arrival.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    runs: Arc<Mutex<Vec<EngineRun>>>,
}

impl Trace {
    /// Notes an arrival and returns its position.
    pub fn begin(&self, run: EngineRun) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    /// Notes that an answer was complete.
    pub fn finish(&self, position: usize, at: Timestamp) {
        if let Some(run) = self.lock().get_mut(position) {
            run.finished = Some(at);
        }
    }

    /// Everything seen so far.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<EngineRun>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Blocks that some engine of the fleet has held at some time, and the tokens computed again all the same.
#[derive(Debug, Clone, Default)]
pub struct HeldBlocks {
    inner: Arc<Mutex<HeldInner>>,
}

#[derive(Debug, Default)]
struct HeldInner {
    ever_held: HashSet<BlockHash>,
    computed_again: u64,
    prompt_blocks: u64,
}

impl HeldBlocks {
    /// Notes the blocks of a prompt, of which the engine found the first `cached`.
    pub fn note_prompt(&self, hashes: &[BlockHash], cached: usize) {
        let mut inner = self.lock();
        inner.prompt_blocks += hashes.len() as u64;
        let again = hashes.iter().skip(cached).filter(|hash| inner.ever_held.contains(hash)).count();
        inner.computed_again += again as u64;
        inner.ever_held.extend(hashes.iter().copied());
    }

    /// Notes blocks that an answer added.
    pub fn note_answer(&self, hashes: &[BlockHash]) {
        self.lock().ever_held.extend(hashes.iter().copied());
    }

    /// Share of prompt blocks that were computed again though some engine had held them.
    pub fn wasted_fraction(&self) -> f64 {
        let inner = self.lock();
        inner.computed_again as f64 / inner.prompt_blocks.max(1) as f64
    }

    fn lock(&self) -> MutexGuard<'_, HeldInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

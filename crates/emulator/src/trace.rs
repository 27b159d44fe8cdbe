//! Records of what the emulated engines received and computed, for checks of the system's guarantees.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sumacdrift_types::{EngineName, Timestamp};

use crate::BlockHash;

/// A request that reached an engine.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct EngineRun {
    pub engine: EngineName,
    /// Value of the `x-request-id` header, empty if there is none.
    pub call: String,
    /// Program named by the request, `anonymous` if there is none.
    pub program: String,
    /// Prompt tokens, without a partial answer that the request continues.
    pub prompt_tokens: u64,
    pub started: Timestamp,
    /// When the answer was complete; `None` while the request runs or if it was cut off.
    pub finished: Option<Timestamp>,
}

/// All requests that reached engines, in order of arrival. Clones share the record.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    runs: Arc<Mutex<Vec<EngineRun>>>,
}

impl Trace {
    /// Records an arrival and returns its position.
    pub fn begin(&self, run: EngineRun) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    /// Records the completion of the request at a position.
    pub fn finish(&self, position: usize, at: Timestamp) {
        if let Some(run) = self.lock().get_mut(position) {
            run.finished = Some(at);
        }
    }

    /// All requests so far.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<EngineRun>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Prompt blocks that were recomputed although an engine of the fleet had computed them before. Clones share the record.
#[derive(Debug, Clone, Default)]
pub struct HeldBlocks {
    inner: Arc<Mutex<HeldBlocksInner>>,
}

#[derive(Debug, Default)]
struct HeldBlocksInner {
    ever_held: HashSet<BlockHash>,
    recomputed_blocks: u64,
    prompt_blocks: u64,
}

impl HeldBlocks {
    /// Records the blocks of a prompt, of which the engine had cached the first `cached`.
    pub fn record_prompt(&self, hashes: &[BlockHash], cached: usize) {
        let mut inner = self.lock();
        inner.prompt_blocks += hashes.len() as u64;
        let recomputed = hashes.iter().skip(cached).filter(|hash| inner.ever_held.contains(hash)).count();
        inner.recomputed_blocks += recomputed as u64;
        inner.ever_held.extend(hashes.iter().copied());
    }

    /// Records the blocks of a prompt with its answer.
    pub fn record_answer(&self, hashes: &[BlockHash]) {
        self.lock().ever_held.extend(hashes.iter().copied());
    }

    /// Share of prompt blocks that were recomputed although some engine had held them.
    pub fn wasted_fraction(&self) -> f64 {
        let inner = self.lock();
        inner.recomputed_blocks as f64 / inner.prompt_blocks.max(1) as f64
    }

    fn lock(&self) -> MutexGuard<'_, HeldBlocksInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

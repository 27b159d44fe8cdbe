//! Model of an inference engine with continuous batching, chunked prefill and a prefix cache. The caller supplies the
//! clock.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_types::{ProgramId, Timestamp, TokenCount, Usage};

use crate::text::BLOCK_TOKENS;
use crate::{BlockCache, BlockHash, EngineSettings, HeldBlocks};

/// Identifies a request within an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SequenceId(pub u64);

/// A request submitted to an engine.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct Submission {
    pub id: SequenceId,
    pub program: ProgramId,
    /// Lower values are admitted first.
    pub priority: u32,
    /// Hashes of the prompt's complete blocks.
    pub blocks: Vec<BlockHash>,
    pub prompt_tokens: TokenCount,
    /// Number of tokens to generate.
    pub output_tokens: TokenCount,
    /// Hashes of the complete blocks of prompt and answer together.
    pub final_blocks: Vec<BlockHash>,
}

/// Progress of a request, with the time at which the step ended.
#[derive(Debug, Clone, Copy, PartialEq)]
#[allow(missing_docs)]
pub enum EngineEvent {
    Token { id: SequenceId, at: Timestamp },
    Finished { id: SequenceId, usage: Usage, at: Timestamp },
}

/// Load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[allow(missing_docs)]
pub struct LoadReport {
    pub running: usize,
    /// Requests waiting for admission to the batch.
    pub waiting: usize,
    /// Blocks in memory, in use or idle.
    pub held_blocks: usize,
    /// Blocks that running requests use.
    pub used_blocks: usize,
}

#[derive(Debug)]
struct Sequence {
    submission: Submission,
    /// Prompt tokens that are cached or prefilled.
    computed: TokenCount,
    cached_tokens: TokenCount,
    generated: TokenCount,
    /// Tokens generated before preemptions; counted as prompt tokens since.
    generated_before: TokenCount,
    acquired: Vec<BlockHash>,
    unhashed: usize,
}

impl Sequence {
    fn is_decoding(&self) -> bool {
        self.computed >= self.submission.prompt_tokens
    }

    fn is_finished(&self) -> bool {
        self.generated >= self.submission.output_tokens
    }
}

/// Admission order: priority, then arrival number.
type WaitingKey = (u32, u64);

/// An engine; time advances only through [`EngineModel::advance`].
#[derive(Debug)]
pub struct EngineModel {
    settings: EngineSettings,
    cache: BlockCache,
    held: HeldBlocks,
    waiting: BTreeMap<WaitingKey, Sequence>,
    running: Vec<Sequence>,
    next_arrival_number: u64,
    /// End of the current step; `None` if the engine is idle.
    step_end: Option<Timestamp>,
    /// Prompt tokens that the current step prefills, by position in the batch.
    step_prefill: Vec<TokenCount>,
    computed_tokens: TokenCount,
}

impl EngineModel {
    /// Creates an idle engine with an empty cache.
    pub fn new(settings: EngineSettings, held: HeldBlocks) -> Self {
        let capacity = (settings.capacity_tokens as usize / BLOCK_TOKENS).max(1);
        Self {
            settings,
            cache: BlockCache::new(capacity),
            held,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            next_arrival_number: 0,
            step_end: None,
            step_prefill: Vec::new(),
            computed_tokens: 0,
        }
    }

    /// The prefix cache.
    pub fn cache(&self) -> &BlockCache {
        &self.cache
    }

    /// The prefix cache, for changes from outside the model such as evictions and imports.
    pub fn cache_mut(&mut self) -> &mut BlockCache {
        &mut self.cache
    }

    /// Total prompt tokens prefilled, including those of the current step.
    pub fn computed_tokens(&self) -> TokenCount {
        self.computed_tokens
    }

    /// What the engine reports of itself.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running.len(),
            waiting: self.waiting.len(),
            held_blocks: self.cache.block_count(),
            used_blocks: self.cache.used_count(),
        }
    }

    /// End of the current step; `None` if the engine is idle.
    pub fn next_step(&self) -> Option<Timestamp> {
        self.step_end
    }

    /// Enqueues a request, and starts a step if the engine is idle.
    pub fn submit(&mut self, submission: Submission, now: Timestamp) {
        let key = (submission.priority, self.next_arrival_number);
        self.next_arrival_number += 1;
        let sequence = Sequence {
            submission,
            computed: 0,
            cached_tokens: 0,
            generated: 0,
            generated_before: 0,
            acquired: Vec::new(),
            unhashed: 0,
        };
        self.waiting.insert(key, sequence);
        if self.step_end.is_none() {
            self.start_step(now);
        }
    }

    /// Removes a waiting or running request; does nothing if it is unknown.
    pub fn cancel(&mut self, id: SequenceId) {
        self.waiting.retain(|_, sequence| sequence.submission.id != id);
        if let Some(position) = self.running.iter().position(|one| one.submission.id == id) {
            let sequence = self.remove_running(position);
            self.release_blocks(&sequence);
        }
    }

    /// Completes all steps that end by `now` and returns their events in order.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        while let Some(at) = self.step_end.filter(|at| *at <= now) {
            self.finish_step(at, &mut events);
            self.start_step(at);
        }
        events
    }

    fn start_step(&mut self, now: Timestamp) {
        self.admit_waiting();
        self.step_prefill.clear();
        if self.running.is_empty() {
            self.step_end = None;
            return;
        }
        let mut budget = self.settings.prefill_chunk_tokens;
        let mut decoding = 0;
        let mut prefill = 0;
        for sequence in &self.running {
            let remaining = sequence.submission.prompt_tokens.saturating_sub(sequence.computed);
            let chunk = remaining.min(budget);
            budget -= chunk;
            prefill += chunk;
            decoding += u32::from(sequence.is_decoding());
            self.step_prefill.push(chunk);
        }
        let prefill_seconds = prefill as f64 / self.settings.prefill_tokens_per_second;
        let step_duration = self.settings.step_base
            + self.settings.step_per_sequence * decoding
            + Duration::from_secs_f64(prefill_seconds);
        self.computed_tokens += prefill;
        self.step_end = Some(now + step_duration);
    }

    fn finish_step(&mut self, at: Timestamp, events: &mut Vec<EngineEvent>) {
        let mut position = 0;
        let chunks = std::mem::take(&mut self.step_prefill);
        let mut next_chunks = chunks.into_iter();
        let mut starved = Vec::new();
        for sequence in &mut self.running {
            let chunk = next_chunks.next().unwrap_or(0);
            let was_decoding = sequence.is_decoding();
            sequence.computed += chunk;
            // The step that completes the prompt also generates the first token.
            let emits_token = was_decoding || sequence.is_decoding();
            if !emits_token {
                position += 1;
                continue;
            }
            if needs_block(sequence) {
                if self.cache.acquire_unhashed() {
                    sequence.unhashed += 1;
                } else {
                    starved.push(position);
                    position += 1;
                    continue;
                }
            }
            sequence.generated += 1;
            events.push(EngineEvent::Token { id: sequence.submission.id, at });
            position += 1;
        }
        self.preempt_last(&starved);
        self.finish_sequences(at, events);
    }

    /// Moves the last sequence of the batch back to the queue if a sequence got no memory for its next token.
    fn preempt_last(&mut self, starved: &[usize]) {
        if starved.is_empty() || self.running.len() < 2 {
            return;
        }
        let mut sequence = self.remove_running(self.running.len() - 1);
        self.release_blocks(&sequence);
        sequence.computed = 0;
        sequence.generated_before += sequence.generated;
        sequence.submission.prompt_tokens += sequence.generated;
        sequence.submission.output_tokens -= sequence.generated;
        sequence.generated = 0;
        sequence.acquired.clear();
        sequence.unhashed = 0;
        let key = (sequence.submission.priority, self.next_arrival_number);
        self.next_arrival_number += 1;
        self.waiting.insert(key, sequence);
    }

    fn finish_sequences(&mut self, at: Timestamp, events: &mut Vec<EngineEvent>) {
        let mut position = 0;
        while position < self.running.len() {
            if !self.running[position].is_finished() {
                position += 1;
                continue;
            }
            let sequence = self.remove_running(position);
            self.release_blocks(&sequence);
            self.cache_answer(&sequence);
            let usage = Usage {
                prompt_tokens: sequence.submission.prompt_tokens - sequence.generated_before,
                cached_tokens: sequence.cached_tokens,
                output_tokens: sequence.generated + sequence.generated_before,
            };
            events.push(EngineEvent::Finished { id: sequence.submission.id, usage, at });
        }
    }

    /// Inserts the blocks of prompt and answer into the cache, as far as memory allows.
    fn cache_answer(&mut self, sequence: &Sequence) {
        let blocks = &sequence.submission.final_blocks;
        self.held.record_answer(blocks);
        let mut cached = Vec::new();
        for hash in blocks {
            if !self.cache.acquire(*hash, &sequence.submission.program) {
                break;
            }
            cached.push(*hash);
        }
        // Released in reverse order, so that the end is evicted before the prefix it depends on.
        for hash in cached.into_iter().rev() {
            self.cache.release(hash);
        }
    }

    fn admit_waiting(&mut self) {
        while self.running.len() < self.settings.max_batch {
            let Some((key, mut sequence)) = self.waiting.pop_first() else { return };
            if self.try_admit(&mut sequence) {
                self.running.push(sequence);
            } else {
                self.waiting.insert(key, sequence);
                return;
            }
        }
    }

    /// Reserves memory for a prompt; returns whether the sequence may run. A prompt that doesn't fit would wait for ever, so
    /// it runs without the cache if the batch is empty.
    fn try_admit(&mut self, sequence: &mut Sequence) -> bool {
        let cached_prefix_len = self.cache.cached_prefix_len(&sequence.submission.blocks);
        for hash in &sequence.submission.blocks {
            if !self.cache.acquire(*hash, &sequence.submission.program) {
                for acquired in sequence.acquired.drain(..).rev() {
                    self.cache.release(acquired);
                }
                return self.running.is_empty();
            }
            sequence.acquired.push(*hash);
        }
        self.held.record_prompt(&sequence.submission.blocks, cached_prefix_len);
        let max_cached = sequence.submission.prompt_tokens.saturating_sub(1);
        // At least one prompt token has to be computed to generate the first output token.
        sequence.computed = ((cached_prefix_len * BLOCK_TOKENS) as TokenCount).min(max_cached);
        sequence.cached_tokens = sequence.cached_tokens.max(sequence.computed);
        true
    }

    fn remove_running(&mut self, position: usize) -> Sequence {
        if position < self.step_prefill.len() {
            self.step_prefill.remove(position);
        }
        self.running.remove(position)
    }

    fn release_blocks(&mut self, sequence: &Sequence) {
        for hash in sequence.acquired.iter().rev() {
            self.cache.release(*hash);
        }
        self.cache.release_unhashed(sequence.unhashed);
    }
}

fn needs_block(sequence: &Sequence) -> bool {
    let tokens = sequence.submission.prompt_tokens + sequence.generated + 1;
    let blocks = sequence.submission.blocks.len() + sequence.unhashed;
    tokens > (blocks * BLOCK_TOKENS) as TokenCount
}

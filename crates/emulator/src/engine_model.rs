//! An engine with continuous batching, chunked prefill and a prefix cache, on a clock that its driver supplies.

use std::collections::BTreeMap;
use std::time::Duration;

use sumacdrift_types::{ProgramId, Timestamp, TokenCount, Usage};

use crate::text::BLOCK_TOKENS;
use crate::{BlockCache, BlockHash, EngineSettings, HeldBlocks};

/// A request in an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SequenceId(pub u64);

/// A request as it arrives.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Identifies the request.
    pub id: SequenceId,
    /// The program that it belongs to.
    pub program: ProgramId,
    /// Lower goes first.
    pub priority: u32,
    /// Hashes of the prompt's full blocks.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens to generate.
    pub output_tokens: TokenCount,
    /// Hashes of the full blocks of prompt and answer together.
    pub final_blocks: Vec<BlockHash>,
}

/// What happened in an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EngineEvent {
    /// A token was generated.
    Token {
        /// The request.
        id: SequenceId,
        /// When.
        at: Timestamp,
    },
    /// A request is complete.
    Finished {
        /// The request.
        id: SequenceId,
        /// Tokens used.
        usage: Usage,
        /// When.
        at: Timestamp,
    },
}

/// What an engine reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Blocks held.
    pub held_blocks: usize,
    /// Blocks in use.
    pub used_blocks: usize,
}

#[derive(Debug)]
struct Sequence {
    submission: Submission,
    /// Prompt tokens that are in memory.
    computed: TokenCount,
    cached_tokens: TokenCount,
    generated: TokenCount,
    /// Tokens generated before a preemption; they are part of the prompt now.
    generated_before: TokenCount,
    acquired: Vec<BlockHash>,
    anonymous: usize,
}

impl Sequence {
    fn is_decoding(&self) -> bool {
        self.computed >= self.submission.prompt_tokens
    }

    fn is_finished(&self) -> bool {
        self.generated >= self.submission.output_tokens
    }
}

/// The order in which waiting requests enter the batch.
type WaitingKey = (u32, u64);

/// One engine.
#[derive(Debug)]
pub struct EngineModel {
    settings: EngineSettings,
    cache: BlockCache,
    held: HeldBlocks,
    waiting: BTreeMap<WaitingKey, Sequence>,
    running: Vec<Sequence>,
    arrivals: u64,
    /// When the step under way ends.
    step_ends: Option<Timestamp>,
    /// Prompt tokens that the step under way computes, by position in the batch.
    step_prefill: Vec<TokenCount>,
    computed_tokens: TokenCount,
}

impl EngineModel {
    /// An idle engine with an empty cache.
    pub fn new(settings: EngineSettings, held: HeldBlocks) -> Self {
        let capacity = (settings.capacity_tokens as usize / BLOCK_TOKENS).max(1);
        Self {
            settings,
            cache: BlockCache::new(capacity),
            held,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            arrivals: 0,
            step_ends: None,
            step_prefill: Vec::new(),
            computed_tokens: 0,
        }
    }

    /// The engine's cache.
    pub fn cache(&self) -> &BlockCache {
        &self.cache
    }

    /// The engine's cache, for dropping a program's blocks.
    pub fn cache_mut(&mut self) -> &mut BlockCache {
        &mut self.cache
    }

    /// Prompt tokens computed so far.
    pub fn computed_tokens(&self) -> TokenCount {
        self.computed_tokens
    }

    /// What the engine reports of itself.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running.len(),
            waiting: self.waiting.len(),
            held_blocks: self.cache.held(),
            used_blocks: self.cache.in_use(),
        }
    }

    /// When something will happen next, if anything will.
    pub fn next_step(&self) -> Option<Timestamp> {
        self.step_ends
    }

    /// Takes a request.
    pub fn submit(&mut self, submission: Submission, now: Timestamp) {
        let key = (submission.priority, self.arrivals);
        self.arrivals += 1;
        let sequence = Sequence {
            submission,
            computed: 0,
            cached_tokens: 0,
            generated: 0,
            generated_before: 0,
            acquired: Vec::new(),
            anonymous: 0,
        };
        self.waiting.insert(key, sequence);
        if self.step_ends.is_none() {
            self.start_step(now);
        }
    }

    /// Drops a request.
    pub fn cancel(&mut self, id: SequenceId) {
        self.waiting.retain(|_, sequence| sequence.submission.id != id);
        if let Some(position) = self.running.iter().position(|one| one.submission.id == id) {
            let sequence = self.remove_running(position);
            self.give_back(&sequence);
        }
    }

    /// Lets time pass and reports what happened.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        while let Some(at) = self.step_ends.filter(|at| *at <= now) {
            self.finish_step(at, &mut events);
            self.start_step(at);
        }
        events
    }

    fn start_step(&mut self, now: Timestamp) {
        self.admit();
        self.step_prefill.clear();
        if self.running.is_empty() {
            self.step_ends = None;
            return;
        }
        let mut budget = self.settings.prefill_chunk_tokens;
        let mut decoding = 0;
        let mut prefill = 0;
        for sequence in &self.running {
            let missing = sequence.submission.prompt_tokens.saturating_sub(sequence.computed);
            let chunk = missing.min(budget);
            budget -= chunk;
            prefill += chunk;
            decoding += u32::from(sequence.is_decoding());
            self.step_prefill.push(chunk);
        }
        let prefill_seconds = prefill as f64 / self.settings.prefill_tokens_per_second;
        let length = self.settings.step_base
            + self.settings.step_per_sequence * decoding
            + Duration::from_secs_f64(prefill_seconds);
        self.computed_tokens += prefill;
        self.step_ends = Some(now + length);
    }

    fn finish_step(&mut self, at: Timestamp, events: &mut Vec<EngineEvent>) {
        let mut position = 0;
        let chunks = std::mem::take(&mut self.step_prefill);
        let mut chunk_of = chunks.into_iter();
        let mut starved = Vec::new();
        for sequence in &mut self.running {
            let chunk = chunk_of.next().unwrap_or(0);
            let was_decoding = sequence.is_decoding();
            sequence.computed += chunk;
            // The step that completes the prompt also yields the first token.
            let yields = was_decoding || sequence.is_decoding();
            if !yields {
                position += 1;
                continue;
            }
            if needs_block(sequence) {
                if self.cache.acquire_anonymous() {
                    sequence.anonymous += 1;
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
        self.preempt_for(&starved);
        self.finish_sequences(at, events);
    }

    /// Frees memory by sending the latest arrival back to wait, as engines do when memory runs out.
    fn preempt_for(&mut self, starved: &[usize]) {
        if starved.is_empty() || self.running.len() < 2 {
            return;
        }
        let mut sequence = self.remove_running(self.running.len() - 1);
        self.give_back(&sequence);
        sequence.computed = 0;
        sequence.generated_before += sequence.generated;
        sequence.submission.prompt_tokens += sequence.generated;
        sequence.submission.output_tokens -= sequence.generated;
        sequence.generated = 0;
        sequence.acquired.clear();
        sequence.anonymous = 0;
        let key = (sequence.submission.priority, self.arrivals);
        self.arrivals += 1;
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
            self.give_back(&sequence);
            self.keep_answer(&sequence);
            let usage = Usage {
                prompt_tokens: sequence.submission.prompt_tokens - sequence.generated_before,
                cached_tokens: sequence.cached_tokens,
                output_tokens: sequence.generated + sequence.generated_before,
            };
            events.push(EngineEvent::Finished { id: sequence.submission.id, usage, at });
        }
    }

    /// Puts the blocks of prompt and answer into the cache, as far as memory allows.
    fn keep_answer(&mut self, sequence: &Sequence) {
        let blocks = &sequence.submission.final_blocks;
        self.held.note_answer(blocks);
        let mut kept = Vec::new();
        for hash in blocks {
            if !self.cache.acquire(*hash, &sequence.submission.program) {
                break;
            }
            kept.push(*hash);
        }
        // The end goes first when memory is needed: a prefix is worth more than what follows it.
        for hash in kept.into_iter().rev() {
            self.cache.release(hash);
        }
    }

    fn admit(&mut self) {
        while self.running.len() < self.settings.max_batch {
            let Some((key, mut sequence)) = self.waiting.pop_first() else { return };
            if self.try_start(&mut sequence) {
                self.running.push(sequence);
            } else {
                self.waiting.insert(key, sequence);
                return;
            }
        }
    }

    /// Takes memory for a prompt. A prompt larger than all memory would wait for ever; it runs alone, without
    /// cache, instead.
    fn try_start(&mut self, sequence: &mut Sequence) -> bool {
        let matching = self.cache.matching(&sequence.submission.blocks);
        for hash in &sequence.submission.blocks {
            if !self.cache.acquire(*hash, &sequence.submission.program) {
                for acquired in sequence.acquired.drain(..).rev() {
                    self.cache.release(acquired);
                }
                return self.running.is_empty();
            }
            sequence.acquired.push(*hash);
        }
        self.held.note_prompt(&sequence.submission.blocks, matching);
        let last = sequence.submission.prompt_tokens.saturating_sub(1);
        // At least one token is computed, since the first new token comes out of it.
        sequence.computed = ((matching * BLOCK_TOKENS) as TokenCount).min(last);
        sequence.cached_tokens = sequence.cached_tokens.max(sequence.computed);
        true
    }

    fn remove_running(&mut self, position: usize) -> Sequence {
        if position < self.step_prefill.len() {
            self.step_prefill.remove(position);
        }
        self.running.remove(position)
    }

    fn give_back(&mut self, sequence: &Sequence) {
        for hash in sequence.acquired.iter().rev() {
            self.cache.release(*hash);
        }
        self.cache.release_anonymous(sequence.anonymous);
    }
}

/// Whether the next generated token needs a block that the sequence does not have yet.
fn needs_block(sequence: &Sequence) -> bool {
    let tokens = sequence.submission.prompt_tokens + sequence.generated + 1;
    let blocks = sequence.submission.blocks.len() + sequence.anonymous;
    tokens > (blocks * BLOCK_TOKENS) as TokenCount
}

//! What an engine's prefix cache probably holds.
//!
//! Engines publish cache events late and with gaps, so the index is a belief: it learns from finished calls,
//! is corrected by the cached-token counts in answers, and mirrors the engine's least-recently-used eviction
//! so that it does not keep believing in what memory can't hold.

use std::collections::{BTreeMap, BTreeSet};

use sumacdrift_types::{PrefixDigest, ProgramId, Timestamp, TokenCount};

use crate::ContextPrefix;

/// What one entry of the index stands for.
#[derive(Debug, Clone)]
struct Record {
    /// Tokens from the start of the prompt to this point.
    tokens: TokenCount,
    /// Tokens between the previous known point and this one: what the entry itself occupies.
    own_tokens: TokenCount,
    last_used: Timestamp,
    program: Option<ProgramId>,
}

/// Belief about one engine's cache.
#[derive(Debug, Clone, Default)]
pub struct CacheIndex {
    records: BTreeMap<PrefixDigest, Record>,
    by_use: BTreeSet<(Timestamp, PrefixDigest)>,
    held_tokens: TokenCount,
    capacity_tokens: TokenCount,
}

impl CacheIndex {
    /// An empty index of a cache that holds `capacity_tokens`.
    pub fn new(capacity_tokens: TokenCount) -> Self {
        Self { capacity_tokens, ..Self::default() }
    }

    /// Tokens that are believed to be held.
    pub fn held_tokens(&self) -> TokenCount {
        self.held_tokens
    }

    /// Number of points known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Tokens of the longest prefix that is believed to be held.
    pub fn cached_tokens(&self, prefixes: &[ContextPrefix]) -> TokenCount {
        let known = prefixes.iter().rev().find_map(|prefix| self.records.get(&prefix.digest));
        known.map_or(0, |record| record.tokens)
    }

    /// Notes that all these points are held now. Points shared by programs are marked with no program.
    pub fn insert(&mut self, prefixes: &[ContextPrefix], program: &ProgramId, now: Timestamp) {
        let mut previous_tokens = 0;
        for prefix in prefixes {
            let own_tokens = prefix.tokens.saturating_sub(previous_tokens);
            self.insert_one(prefix, own_tokens, program, now);
            previous_tokens = prefix.tokens;
        }
        self.evict();
    }

    /// Corrects the belief by what an answer reported as found in the cache.
    pub fn correct(&mut self, prefixes: &[ContextPrefix], reported: TokenCount) {
        for prefix in prefixes {
            let believed = self.records.get(&prefix.digest).map(|record| record.tokens);
            // The tail of a prefix shorter than a block is never cached, so small differences mean nothing.
            if believed.is_some_and(|tokens| tokens > reported + CORRECTION_SLACK_TOKENS) {
                self.remove(prefix.digest);
            }
        }
    }

    /// Drops what belongs to one program alone.
    pub fn forget_program(&mut self, program: &ProgramId) {
        let owned = |record: &Record| record.program.as_ref() == Some(program);
        let digests: Vec<PrefixDigest> =
            self.records.iter().filter(|(_, record)| owned(record)).map(|(digest, _)| *digest).collect();
        for digest in digests {
            self.remove(digest);
        }
    }

    /// Drops everything, as after an engine's restart.
    pub fn clear(&mut self) {
        self.records.clear();
        self.by_use.clear();
        self.held_tokens = 0;
    }

    fn insert_one(
        &mut self,
        prefix: &ContextPrefix,
        own_tokens: TokenCount,
        program: &ProgramId,
        now: Timestamp,
    ) {
        if let Some(record) = self.records.get_mut(&prefix.digest) {
            self.by_use.remove(&(record.last_used, prefix.digest));
            record.last_used = now;
            if record.program.as_ref() != Some(program) {
                record.program = None;
            }
        } else {
            let program = Some(program.clone());
            let record = Record { tokens: prefix.tokens, own_tokens, last_used: now, program };
            self.held_tokens += own_tokens;
            self.records.insert(prefix.digest, record);
        }
        self.by_use.insert((now, prefix.digest));
    }

    fn evict(&mut self) {
        while self.held_tokens > self.capacity_tokens {
            let Some((_, digest)) = self.by_use.first().copied() else { return };
            self.remove(digest);
        }
    }

    fn remove(&mut self, digest: PrefixDigest) {
        if let Some(record) = self.records.remove(&digest) {
            self.by_use.remove(&(record.last_used, digest));
            self.held_tokens -= record.own_tokens;
        }
    }
}

/// Difference between belief and report that is put down to block size and token estimate.
const CORRECTION_SLACK_TOKENS: TokenCount = 64;

//! Estimated content of an engine's prefix cache.
//!
//! Engines publish cache events late and with gaps. The index is therefore built from finished calls, corrected by
//! the cached-token counts in answers, and evicts the least recently used prefixes as the engine does.

use std::collections::{BTreeMap, BTreeSet};

use sumacdrift_types::{PrefixDigest, ProgramId, Timestamp, TokenCount};

use crate::ContextPrefix;

#[derive(Debug, Clone)]
struct CachedPrefix {
    /// Tokens from the start of the prompt to this boundary.
    tokens: TokenCount,
    /// Tokens since the previous listed boundary: what this entry itself occupies.
    own_tokens: TokenCount,
    last_used: Timestamp,
    /// `None` if several programs use the prefix.
    program: Option<ProgramId>,
}

/// Index of the prefixes that one engine's cache is estimated to hold.
#[derive(Debug, Clone, Default)]
pub struct CacheIndex {
    entries: BTreeMap<PrefixDigest, CachedPrefix>,
    by_last_use: BTreeSet<(Timestamp, PrefixDigest)>,
    held_tokens: TokenCount,
    capacity_tokens: TokenCount,
}

impl CacheIndex {
    /// Creates an empty index of a cache that fits `capacity_tokens`.
    pub fn new(capacity_tokens: TokenCount) -> Self {
        Self { capacity_tokens, ..Self::default() }
    }

    /// Estimated tokens in the cache.
    pub fn held_tokens(&self) -> TokenCount {
        self.held_tokens
    }

    /// Number of indexed boundaries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no boundary is indexed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tokens of the longest indexed prefix, out of `prefixes` ordered by length.
    pub fn cached_tokens(&self, prefixes: &[ContextPrefix]) -> TokenCount {
        let known = prefixes.iter().rev().find_map(|prefix| self.entries.get(&prefix.digest));
        known.map_or(0, |entry| entry.tokens)
    }

    /// Records that the cache holds all these prefixes, which are ordered by length. A prefix that several programs use
    /// belongs to none of them.
    pub fn insert(&mut self, prefixes: &[ContextPrefix], program: &ProgramId, now: Timestamp) {
        let mut previous_tokens = 0;
        for prefix in prefixes {
            let own_tokens = prefix.tokens.saturating_sub(previous_tokens);
            self.insert_prefix(prefix, own_tokens, program, now);
            previous_tokens = prefix.tokens;
        }
        self.evict();
    }

    /// Removes prefixes longer than the cached tokens that an answer reported.
    pub fn correct(&mut self, prefixes: &[ContextPrefix], reported_tokens: TokenCount) {
        for prefix in prefixes {
            let indexed_tokens = self.entries.get(&prefix.digest).map(|entry| entry.tokens);
            // Engines cache whole blocks only, so small differences are not evidence of an eviction.
            if indexed_tokens.is_some_and(|tokens| tokens > reported_tokens + CORRECTION_SLACK_TOKENS) {
                self.remove(prefix.digest);
            }
        }
    }

    /// Removes the prefixes used by this program alone.
    pub fn forget_program(&mut self, program: &ProgramId) {
        let is_owned = |entry: &CachedPrefix| entry.program.as_ref() == Some(program);
        let digests: Vec<PrefixDigest> =
            self.entries.iter().filter(|(_, entry)| is_owned(entry)).map(|(digest, _)| *digest).collect();
        for digest in digests {
            self.remove(digest);
        }
    }

    /// Removes all prefixes, as after an engine's restart.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.by_last_use.clear();
        self.held_tokens = 0;
    }

    fn insert_prefix(
        &mut self,
        prefix: &ContextPrefix,
        own_tokens: TokenCount,
        program: &ProgramId,
        now: Timestamp,
    ) {
        if let Some(entry) = self.entries.get_mut(&prefix.digest) {
            self.by_last_use.remove(&(entry.last_used, prefix.digest));
            entry.last_used = now;
            if entry.program.as_ref() != Some(program) {
                entry.program = None;
            }
        } else {
            let program = Some(program.clone());
            let entry = CachedPrefix { tokens: prefix.tokens, own_tokens, last_used: now, program };
            self.held_tokens += own_tokens;
            self.entries.insert(prefix.digest, entry);
        }
        self.by_last_use.insert((now, prefix.digest));
    }

    fn evict(&mut self) {
        while self.held_tokens > self.capacity_tokens {
            let Some((_, digest)) = self.by_last_use.first().copied() else { return };
            self.remove(digest);
        }
    }

    fn remove(&mut self, digest: PrefixDigest) {
        if let Some(entry) = self.entries.remove(&digest) {
            self.by_last_use.remove(&(entry.last_used, digest));
            self.held_tokens -= entry.own_tokens;
        }
    }
}

/// Tolerated difference from the reported count, due to block size and token estimates.
const CORRECTION_SLACK_TOKENS: TokenCount = 64;

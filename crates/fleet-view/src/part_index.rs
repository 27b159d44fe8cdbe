//! Bounded index of the engines that hold parts of prompts, with expiry.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::message::CachedPart;

/// Maximum number of holders per part.
const MAX_HOLDERS_PER_PART: usize = 24;

#[derive(Debug, Clone, Copy)]
struct Holder {
    engine: u32,
    tokens: u32,
    used_at: Timestamp,
}

#[derive(Debug, Default)]
struct Part {
    used_at: Timestamp,
    holders: Vec<Holder>,
}

/// Maps parts to the engines that are believed to hold them.
#[derive(Debug)]
pub struct PartIndex {
    parts: HashMap<u64, Part>,
    by_last_use: BTreeSet<(Timestamp, u64)>,
    max_parts: usize,
    ttl: Duration,
}

impl PartIndex {
    /// Starts empty. A part expires `ttl` after its last use; beyond `max_parts` the least recently used is
    /// evicted.
    pub fn new(max_parts: usize, ttl: Duration) -> Self {
        Self { parts: HashMap::new(), by_last_use: BTreeSet::new(), max_parts, ttl }
    }

    /// Number of parts in the index, including expired ones that are not evicted yet.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether the index has no part, expired or not.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Records that an engine holds a part.
    pub fn record(&mut self, cached: CachedPart, now: Timestamp) {
        let part = self.parts.entry(cached.part).or_default();
        self.by_last_use.remove(&(part.used_at, cached.part));
        self.by_last_use.insert((now, cached.part));
        part.used_at = now;
        let holder = Holder { engine: cached.engine, tokens: cached.tokens, used_at: now };
        match part.holders.iter_mut().find(|known| known.engine == cached.engine) {
            // A cached part only grows; reports of turns may arrive out of order.
            Some(known) => *known = Holder { tokens: known.tokens.max(cached.tokens), ..holder },
            None => part.holders.push(holder),
        }
        if part.holders.len() > MAX_HOLDERS_PER_PART {
            let least_recent = (0..part.holders.len()).min_by_key(|index| part.holders[*index].used_at);
            least_recent.map(|index| part.holders.swap_remove(index));
        }
        self.evict(now);
    }

    /// Engines that have used the part within the time to live.
    pub fn holders(&self, part: u64, now: Timestamp) -> impl Iterator<Item = CachedPart> {
        let holders = self.parts.get(&part).map(|part| part.holders.as_slice()).unwrap_or_default();
        let ttl = self.ttl;
        let recent = holders.iter().filter(move |holder| now.since(holder.used_at) < ttl);
        recent.map(move |holder| CachedPart { part, engine: holder.engine, tokens: holder.tokens })
    }

    fn evict(&mut self, now: Timestamp) {
        while let Some((used_at, part)) = self.by_last_use.first().copied() {
            let is_expired = now.since(used_at) >= self.ttl;
            if !is_expired && self.parts.len() <= self.max_parts {
                return;
            }
            self.by_last_use.remove(&(used_at, part));
            self.parts.remove(&part);
        }
    }
}

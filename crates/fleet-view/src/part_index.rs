//! Which engines hold which parts of prompts: a bounded belief that forgets what was not used for long.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use sumacdrift_types::Timestamp;

use crate::message::PartHeld;

/// Engines that are remembered for one part.
const MOST_HOLDERS: usize = 24;

#[derive(Debug, Clone, Copy)]
struct Holder {
    engine: u32,
    tokens: u32,
    used: Timestamp,
}

#[derive(Debug, Default)]
struct Part {
    used: Timestamp,
    holders: Vec<Holder>,
}

/// Parts and the engines that hold them.
#[derive(Debug)]
pub struct PartIndex {
    parts: HashMap<u64, Part>,
    by_use: BTreeSet<(Timestamp, u64)>,
    most_parts: usize,
    keep_for: Duration,
}

impl PartIndex {
    /// An empty index of at most so many parts, each forgotten when it was not used for a time.
    pub fn new(most_parts: usize, keep_for: Duration) -> Self {
        Self { parts: HashMap::new(), by_use: BTreeSet::new(), most_parts, keep_for }
    }

    /// Number of parts known.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// An engine has read so much of a part.
    pub fn note(&mut self, held: PartHeld, now: Timestamp) {
        let part = self.parts.entry(held.part).or_default();
        self.by_use.remove(&(part.used, held.part));
        self.by_use.insert((now, held.part));
        part.used = now;
        let holder = Holder { engine: held.engine, tokens: held.tokens, used: now };
        match part.holders.iter_mut().find(|known| known.engine == held.engine) {
            // A line's part only grows; an older turn may be told later than a newer one.
            Some(known) => *known = Holder { tokens: known.tokens.max(held.tokens), ..holder },
            None => part.holders.push(holder),
        }
        if part.holders.len() > MOST_HOLDERS {
            let oldest = (0..part.holders.len()).min_by_key(|place| part.holders[*place].used);
            oldest.map(|place| part.holders.swap_remove(place));
        }
        self.forget(now);
    }

    /// Engines that hold a part.
    pub fn holders(&self, part: u64, now: Timestamp) -> impl Iterator<Item = PartHeld> {
        let holders = self.parts.get(&part).map(|part| part.holders.as_slice()).unwrap_or_default();
        let keep_for = self.keep_for;
        let recent = holders.iter().filter(move |holder| now.since(holder.used) < keep_for);
        recent.map(move |holder| PartHeld { part, engine: holder.engine, tokens: holder.tokens })
    }

    fn forget(&mut self, now: Timestamp) {
        while let Some((used, part)) = self.by_use.first().copied() {
            let is_old = now.since(used) >= self.keep_for;
            if !is_old && self.parts.len() <= self.most_parts {
                return;
            }
            self.by_use.remove(&(used, part));
            self.parts.remove(&part);
        }
    }
}

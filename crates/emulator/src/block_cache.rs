//! Prefix cache of an engine: a bounded set of prompt blocks with LRU eviction.

use std::collections::{BTreeMap, HashMap, HashSet};

use sumacdrift_types::{ProgramId, stable_hash};

/// Hash over a block and all blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockHash(pub u64);

impl BlockHash {
    /// Hash of the block with this content that follows.
    pub fn child(self, content: &[u8]) -> BlockHash {
        BlockHash(stable_hash(&[&self.0.to_le_bytes(), content]))
    }
}

#[derive(Debug)]
struct Block {
    /// Number of running sequences that use the block; it can't be evicted while they do.
    users: usize,
    /// Value of `clock` at the last release; key in `idle`.
    last_used: u64,
    programs: HashSet<ProgramId>,
}

/// Blocks by hash. When the cache is full, the least recently used idle block is evicted.
#[derive(Debug)]
pub struct BlockCache {
    capacity: usize,
    blocks: HashMap<BlockHash, Block>,
    /// Blocks without users, least recently used first.
    idle: BTreeMap<u64, BlockHash>,
    /// Number of blocks that running sequences are generating, which have no hash yet.
    unhashed: usize,
    by_program: HashMap<ProgramId, HashSet<BlockHash>>,
    clock: u64,
    evicted: Vec<BlockHash>,
}

impl BlockCache {
    /// Creates an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: HashMap::new(),
            idle: BTreeMap::new(),
            unhashed: 0,
            by_program: HashMap::new(),
            clock: 0,
            evicted: Vec::new(),
        }
    }

    /// Length of the longest cached prefix of `hashes`.
    pub fn cached_prefix_len(&self, hashes: &[BlockHash]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Whether the block is cached.
    pub fn contains_block(&self, hash: BlockHash) -> bool {
        self.blocks.contains_key(&hash)
    }

    /// Number of blocks in memory, in use or idle.
    pub fn block_count(&self) -> usize {
        self.blocks.len() + self.unhashed
    }

    /// Number of blocks that running sequences use.
    pub fn used_count(&self) -> usize {
        self.block_count() - self.idle.len()
    }

    /// Number of blocks that only this program has used.
    pub fn held_for(&self, program: &ProgramId) -> usize {
        let own = |hash: &&BlockHash| self.blocks.get(hash).is_some_and(|block| block.programs.len() == 1);
        self.by_program.get(program).map_or(0, |hashes| hashes.iter().filter(own).count())
    }

    /// Programs with cached blocks, sorted.
    pub fn programs(&self) -> Vec<ProgramId> {
        let mut programs: Vec<ProgramId> = self.by_program.keys().cloned().collect();
        programs.sort();
        programs
    }

    /// Adds a user to a block, inserting the block if needed. Returns `false` if memory is full of blocks in use.
    pub fn acquire(&mut self, hash: BlockHash, program: &ProgramId) -> bool {
        if !self.blocks.contains_key(&hash) {
            if !self.evict_if_full() {
                return false;
            }
            let block = Block { users: 0, last_used: 0, programs: HashSet::new() };
            self.blocks.insert(hash, block);
        }
        if let Some(block) = self.blocks.get_mut(&hash) {
            if block.users == 0 {
                self.idle.remove(&block.last_used);
            }
            block.users += 1;
            if block.programs.insert(program.clone()) {
                self.by_program.entry(program.clone()).or_default().insert(hash);
            }
        }
        true
    }

    /// Removes a user from a block, which stays cached until it is evicted.
    pub fn release(&mut self, hash: BlockHash) {
        self.clock += 1;
        let Some(block) = self.blocks.get_mut(&hash) else { return };
        block.users = block.users.saturating_sub(1);
        if block.users == 0 {
            block.last_used = self.clock;
            self.idle.insert(self.clock, hash);
        }
    }

    /// Reserves memory for a generated block; returns `false` if memory is full of blocks in use.
    pub fn acquire_unhashed(&mut self) -> bool {
        if !self.evict_if_full() {
            return false;
        }
        self.unhashed += 1;
        true
    }

    /// Frees the memory of `count` generated blocks.
    pub fn release_unhashed(&mut self, count: usize) {
        self.unhashed = self.unhashed.saturating_sub(count);
    }

    /// Evicts the idle blocks that only this program has used.
    pub fn evict_program(&mut self, program: &ProgramId) {
        for hash in self.by_program.remove(program).unwrap_or_default() {
            let Some(block) = self.blocks.get_mut(&hash) else { continue };
            block.programs.remove(program);
            if block.programs.is_empty() && block.users == 0 {
                self.idle.remove(&block.last_used);
                self.blocks.remove(&hash);
                self.evicted.push(hash);
            }
        }
    }

    /// Returns the blocks evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<BlockHash> {
        std::mem::take(&mut self.evicted)
    }

    fn evict_if_full(&mut self) -> bool {
        if self.block_count() < self.capacity {
            return true;
        }
        let Some((_, hash)) = self.idle.pop_first() else { return false };
        if let Some(block) = self.blocks.remove(&hash) {
            for program in block.programs {
                self.remove_program_block(&program, hash);
            }
        }
        self.evicted.push(hash);
        true
    }

    fn remove_program_block(&mut self, program: &ProgramId, hash: BlockHash) {
        if let Some(hashes) = self.by_program.get_mut(program) {
            hashes.remove(&hash);
            if hashes.is_empty() {
                self.by_program.remove(program);
            }
        }
    }
}

//! An engine's cache of prompt blocks in bounded memory.

use std::collections::{BTreeMap, HashMap, HashSet};

use sumacdrift_types::{ProgramId, stable_hash};

/// Hash of a block and of all blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockHash(pub u64);

impl BlockHash {
    /// The hash of the block that follows.
    pub fn child(self, content: &[u8]) -> BlockHash {
        BlockHash(stable_hash(&[&self.0.to_le_bytes(), content]))
    }
}

#[derive(Debug)]
struct Block {
    /// Running sequences that use it; a block in use can't be evicted.
    users: usize,
    /// Position in the order of use.
    used: u64,
    /// Programs that used it.
    programs: HashSet<ProgramId>,
}

/// Blocks by hash, with eviction of the least recently used.
#[derive(Debug)]
pub struct BlockCache {
    capacity: usize,
    blocks: HashMap<BlockHash, Block>,
    /// Blocks that no sequence uses, by order of use.
    idle: BTreeMap<u64, BlockHash>,
    /// Blocks of running sequences that are not content-addressed yet, since they are being generated.
    anonymous: usize,
    by_program: HashMap<ProgramId, HashSet<BlockHash>>,
    clock: u64,
    evicted: Vec<BlockHash>,
}

impl BlockCache {
    /// An empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: HashMap::new(),
            idle: BTreeMap::new(),
            anonymous: 0,
            by_program: HashMap::new(),
            clock: 0,
            evicted: Vec::new(),
        }
    }

    /// Number of leading blocks that are held.
    pub fn matching(&self, hashes: &[BlockHash]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Whether a block is held.
    pub fn holds(&self, hash: BlockHash) -> bool {
        self.blocks.contains_key(&hash)
    }

    /// Blocks held, in use or idle.
    pub fn held(&self) -> usize {
        self.blocks.len() + self.anonymous
    }

    /// Blocks that a running sequence uses.
    pub fn in_use(&self) -> usize {
        self.held() - self.idle.len()
    }

    /// Blocks that only this program used.
    pub fn held_for(&self, program: &ProgramId) -> usize {
        let own = |hash: &&BlockHash| self.blocks.get(hash).is_some_and(|block| block.programs.len() == 1);
        self.by_program.get(program).map_or(0, |hashes| hashes.iter().filter(own).count())
    }

    /// Programs for which blocks are held.
    pub fn programs(&self) -> Vec<ProgramId> {
        let mut programs: Vec<ProgramId> = self.by_program.keys().cloned().collect();
        programs.sort();
        programs
    }

    /// Takes a held or new block into use. `false` where memory is full of blocks in use.
    pub fn acquire(&mut self, hash: BlockHash, program: &ProgramId) -> bool {
        if !self.blocks.contains_key(&hash) {
            if !self.make_room() {
                return false;
            }
            let block = Block { users: 0, used: 0, programs: HashSet::new() };
            self.blocks.insert(hash, block);
        }
        if let Some(block) = self.blocks.get_mut(&hash) {
            if block.users == 0 {
                self.idle.remove(&block.used);
            }
            block.users += 1;
            if block.programs.insert(program.clone()) {
                self.by_program.entry(program.clone()).or_default().insert(hash);
            }
        }
        true
    }

    /// Ends a sequence's use of a block; it stays held until evicted.
    pub fn release(&mut self, hash: BlockHash) {
        self.clock += 1;
        let Some(block) = self.blocks.get_mut(&hash) else { return };
        block.users = block.users.saturating_sub(1);
        if block.users == 0 {
            block.used = self.clock;
            self.idle.insert(self.clock, hash);
        }
    }

    /// Takes memory for a block that is being generated.
    pub fn acquire_anonymous(&mut self) -> bool {
        if !self.make_room() {
            return false;
        }
        self.anonymous += 1;
        true
    }

    /// Gives memory of generated blocks back.
    pub fn release_anonymous(&mut self, count: usize) {
        self.anonymous = self.anonymous.saturating_sub(count);
    }

    /// Drops what only this program used and no sequence uses now.
    pub fn forget_program(&mut self, program: &ProgramId) {
        for hash in self.by_program.remove(program).unwrap_or_default() {
            let Some(block) = self.blocks.get_mut(&hash) else { continue };
            block.programs.remove(program);
            if block.programs.is_empty() && block.users == 0 {
                self.idle.remove(&block.used);
                self.blocks.remove(&hash);
                self.evicted.push(hash);
            }
        }
    }

    /// Takes the list of blocks that were dropped since the last call.
    pub fn take_evicted(&mut self) -> Vec<BlockHash> {
        std::mem::take(&mut self.evicted)
    }

    fn make_room(&mut self) -> bool {
        if self.held() < self.capacity {
            return true;
        }
        let Some((_, hash)) = self.idle.pop_first() else { return false };
        if let Some(block) = self.blocks.remove(&hash) {
            for program in block.programs {
                self.forget_block_of(&program, hash);
            }
        }
        self.evicted.push(hash);
        true
    }

    fn forget_block_of(&mut self, program: &ProgramId, hash: BlockHash) {
        if let Some(hashes) = self.by_program.get_mut(program) {
            hashes.remove(&hash);
            if hashes.is_empty() {
                self.by_program.remove(program);
            }
        }
    }
}

//! Decides which bodies a process can hold, and which gives way when there is no memory for another.

use std::collections::HashMap;
use std::time::Duration;

use sumacdrift_types::Timestamp;

/// Bodies up to this size have a part of the budget that larger ones can't use.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Part (1/n) of the budget that only small bodies may use.
const SMALL_PART_DIVISOR: usize = 4;
/// A body that has not grown for this long gives way to others.
const STALL_TIME: Duration = Duration::from_secs(1);
/// A small body displaces one that is this many times larger, also one that still grows.
const DISPLACEMENT_FACTOR: usize = 4;

/// Identifies a holder of memory within a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderId(u64);

#[derive(Debug, Clone, Copy)]
struct Holder {
    bytes: usize,
    grown_at: Timestamp,
    /// Whether it is still being received, so that nothing is lost if it gives way.
    is_arriving: bool,
}

impl Holder {
    fn is_large(&self) -> bool {
        self.bytes > SMALL_BODY_BYTES
    }

    fn large_bytes(&self) -> usize {
        if self.is_large() { self.bytes } else { 0 }
    }
}

/// Decision on a holder that asks for more memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Growth {
    /// Whether the holder has what it asked for. Otherwise it keeps what it had.
    pub is_granted: bool,
    /// Holders that have lost their memory and must let go of their bytes.
    pub evicted: Vec<HolderId>,
}

/// The holders of a process's memory for bodies.
#[derive(Debug)]
pub struct Budget {
    capacity_bytes: usize,
    held_bytes: usize,
    large_bytes: usize,
    holders: HashMap<HolderId, Holder>,
    last_holder: u64,
}

impl Budget {
    /// A budget that nobody holds anything of.
    pub fn new(capacity_bytes: usize) -> Self {
        Self { capacity_bytes, held_bytes: 0, large_bytes: 0, holders: HashMap::new(), last_holder: 0 }
    }

    /// Bytes that all holders have together.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Bytes that all holders may have together.
    pub fn capacity_bytes(&self) -> usize {
        self.capacity_bytes
    }

    /// Number of holders.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Adds a holder of nothing, whose body is about to arrive.
    pub fn add(&mut self, now: Timestamp) -> HolderId {
        self.last_holder += 1;
        let id = HolderId(self.last_holder);
        self.holders.insert(id, Holder { bytes: 0, grown_at: now, is_arriving: true });
        id
    }

    /// Grows a holder to this many bytes, if need be by evicting others.
    pub fn grow(&mut self, id: HolderId, to_bytes: usize, now: Timestamp) -> Growth {
        let mut evicted = Vec::new();
        let Some(holder) = self.holders.get(&id).copied() else {
            return Growth { is_granted: false, evicted };
        };
        let grown = Holder { bytes: to_bytes.max(holder.bytes), grown_at: now, ..holder };
        if !self.can_ever_hold(&grown) {
            return Growth { is_granted: false, evicted };
        }
        while !self.fits(&holder, &grown) {
            let Some(victim) = self.select_victim(id, &holder, &grown, now) else {
                return Growth { is_granted: false, evicted };
            };
            self.remove(victim);
            evicted.push(victim);
        }
        self.replace(id, holder, grown);
        Growth { is_granted: true, evicted }
    }

    /// Marks a holder's body as received, so that it no longer gives way; returns whether it still holds its memory.
    pub fn complete(&mut self, id: HolderId) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else { return false };
        holder.is_arriving = false;
        true
    }

    /// Removes a holder and returns its bytes to the budget. Does nothing if it was evicted.
    pub fn remove(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held_bytes -= holder.bytes;
            self.large_bytes -= holder.large_bytes();
        }
    }

    fn replace(&mut self, id: HolderId, from: Holder, to: Holder) {
        self.held_bytes = self.held_bytes + to.bytes - from.bytes;
        self.large_bytes = self.large_bytes + to.large_bytes() - from.large_bytes();
        self.holders.insert(id, to);
    }

    fn large_capacity_bytes(&self) -> usize {
        self.capacity_bytes - self.capacity_bytes / SMALL_PART_DIVISOR
    }

    /// Whether there would be memory for a holder if it were the only one.
    fn can_ever_hold(&self, holder: &Holder) -> bool {
        let capacity_bytes =
            if holder.is_large() { self.large_capacity_bytes() } else { self.capacity_bytes };
        holder.bytes <= capacity_bytes
    }

    /// Whether there is memory for a holder that grows.
    fn fits(&self, from: &Holder, to: &Holder) -> bool {
        let held = self.held_bytes + to.bytes - from.bytes;
        let large = self.large_bytes + to.large_bytes() - from.large_bytes();
        held <= self.capacity_bytes && (!to.is_large() || large <= self.large_capacity_bytes())
    }

    /// The holder to evict so that another one can grow: of those that may give way, the one that has held most for longest
    /// without growing.
    fn select_victim(&self, id: HolderId, from: &Holder, to: &Holder, now: Timestamp) -> Option<HolderId> {
        let lacks_large_part_only = self.held_bytes + to.bytes - from.bytes <= self.capacity_bytes;
        let candidates = self.holders.iter().filter(|(other, holder)| {
            let frees_memory = holder.bytes > 0 && (holder.is_large() || !lacks_large_part_only);
            **other != id && holder.is_arriving && frees_memory && gives_way(holder, to, now)
        });
        candidates
            .max_by_key(|(other, holder)| (held_without_growth(holder, now), **other))
            .map(|(other, _)| *other)
    }
}

/// Whether a holder may lose its memory to another one.
fn gives_way(holder: &Holder, to: &Holder, now: Timestamp) -> bool {
    let is_stalled = now.since(holder.grown_at) >= STALL_TIME;
    let is_displaced = !to.is_large() && holder.bytes >= to.bytes.saturating_mul(DISPLACEMENT_FACTOR);
    is_stalled || is_displaced
}

/// Byte-microseconds that a holder has held since it last grew.
fn held_without_growth(holder: &Holder, now: Timestamp) -> u128 {
    holder.bytes as u128 * now.since(holder.grown_at).as_micros().max(1)
}

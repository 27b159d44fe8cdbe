//! Memory for the content of retained turns: of those that are stored, and of those under way that will be.

/// Turns up to this size have a part of the memory that larger ones can't use.
const SMALL_TURN_BYTES: u64 = 64 << 10;
/// Part (1/n) of the memory that only small turns may use.
const SMALL_PART_DIVISOR: u64 = 4;

/// Bytes of content that a replica holds or has promised to hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ContentMemory {
    /// Content that is stored.
    pub(crate) stored_bytes: u64,
    /// Content of turns under way.
    pub(crate) reserved_bytes: u64,
}

impl ContentMemory {
    /// Whether a turn whose content may take `bytes` fits a capacity.
    pub(crate) fn fits(&self, bytes: u64, capacity_bytes: u64) -> bool {
        let is_small = bytes <= SMALL_TURN_BYTES;
        let reserved_part = if is_small { 0 } else { capacity_bytes / SMALL_PART_DIVISOR };
        let used_bytes = self.stored_bytes.saturating_add(self.reserved_bytes).saturating_add(bytes);
        used_bytes <= capacity_bytes - reserved_part
    }
}

//! The journal: commits batches of records with one sync each and removes old segments.

use std::collections::VecDeque;
use std::io;

use crate::disk::{Disk, SegmentNumber};
use crate::record::{encode_record, read_records};

/// Limits of a journal.
#[derive(Debug, Clone, Copy)]
pub struct JournalSettings {
    /// Maximum total size of all segments; commits that would exceed it fail.
    pub capacity_bytes: u64,
}

/// Error of a replay or commit.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The commit would exceed the configured capacity. Holds the bytes in use.
    #[error("the journal holds {0} bytes and may not grow")]
    Full(u64),
    /// The disk failed; the records may or may not be durable.
    #[error("the disk failed: {0}")]
    Disk(#[from] io::Error),
    /// The disk failed earlier; the journal accepts no more commits until it is opened again.
    #[error("the journal failed before")]
    Failed,
}

#[derive(Debug, Clone, Copy)]
struct Segment {
    number: SegmentNumber,
    bytes: u64,
}

/// A journal on a [`Disk`].
pub struct Journal<D> {
    disk: D,
    settings: JournalSettings,
    closed: VecDeque<Segment>,
    current: Segment,
    buffer: Vec<u8>,
    has_failed: bool,
}

impl<D: Disk> Journal<D> {
    /// Replays the records on the disk, oldest first, and starts a new segment, so that nothing is appended after a
    /// torn record. Also returns the number of bytes after the last intact record of each segment, left by torn
    /// writes.
    pub fn open(
        mut disk: D,
        settings: JournalSettings,
        mut replay: impl FnMut(&[u8]),
    ) -> Result<(Self, usize), JournalError> {
        let mut torn_bytes = 0;
        let mut closed = VecDeque::new();
        for number in disk.list()? {
            let (reader, bytes) = disk.read(number)?;
            let intact_bytes = read_records(reader, bytes, &mut replay)?;
            torn_bytes += usize::try_from(bytes - intact_bytes).unwrap_or(usize::MAX);
            closed.push_back(Segment { number, bytes });
        }
        if let Some(last) = closed.back() {
            // The previous process may have died before its sync completed. The caller acts on the replayed records,
            // so they must be durable.
            disk.sync_existing(last.number)?;
        }
        let number = closed.back().map_or(0, |last: &Segment| last.number + 1);
        disk.create(number)?;
        let current = Segment { number, bytes: 0 };
        let journal = Self { disk, settings, closed, current, buffer: Vec::new(), has_failed: false };
        Ok((journal, torn_bytes))
    }

    /// Makes records durable with one sync. After a disk error all further commits fail, because the state after a
    /// failed sync is unknown.
    pub fn commit<'a>(&mut self, records: impl IntoIterator<Item = &'a [u8]>) -> Result<(), JournalError> {
        if self.has_failed {
            return Err(JournalError::Failed);
        }
        self.buffer.clear();
        for record in records {
            encode_record(record, &mut self.buffer);
        }
        let bytes = self.buffer.len() as u64;
        if self.total_bytes() + bytes > self.settings.capacity_bytes {
            return Err(JournalError::Full(self.total_bytes()));
        }
        let outcome = self.disk.append(&self.buffer).and_then(|()| self.disk.sync());
        if let Err(error) = outcome {
            self.has_failed = true;
            return Err(error.into());
        }
        self.current.bytes += bytes;
        Ok(())
    }

    /// Starts a new segment and returns its number.
    pub fn start_segment(&mut self) -> Result<SegmentNumber, JournalError> {
        let number = self.current.number + 1;
        self.disk.create(number)?;
        self.closed.push_back(self.current);
        self.current = Segment { number, bytes: 0 };
        Ok(number)
    }

    /// Removes the segments below `number`. Records that are still needed must have been committed again.
    pub fn remove_below(&mut self, number: SegmentNumber) -> Result<(), JournalError> {
        while let Some(oldest) = self.closed.front().copied().filter(|oldest| oldest.number < number) {
            self.disk.remove(oldest.number)?;
            self.closed.pop_front();
        }
        Ok(())
    }

    /// Total size of all segments.
    pub fn total_bytes(&self) -> u64 {
        self.closed.iter().map(|segment| segment.bytes).sum::<u64>() + self.current.bytes
    }
}

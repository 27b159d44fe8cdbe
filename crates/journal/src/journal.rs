//! Segments in use: appending with one sync for a whole batch, and giving up old segments.

use std::collections::VecDeque;
use std::io;

use crate::disk::{Disk, SegmentNumber};
use crate::record::{encode_record, read_records};

/// Limits of a journal.
#[derive(Debug, Clone, Copy)]
pub struct JournalSettings {
    /// Bytes that all segments together may hold; a commit beyond that is refused.
    pub capacity_bytes: u64,
}

/// A commit or a replay failed.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The disk is full by the settings.
    #[error("the journal holds {0} bytes and may not grow")]
    Full(u64),
    /// The disk failed; what was to be committed may or may not be there.
    #[error("the disk failed: {0}")]
    Disk(#[from] io::Error),
    /// The disk failed before; nothing is committed any more in this life of the process.
    #[error("the journal failed before")]
    Failed,
}

#[derive(Debug, Clone, Copy)]
struct Segment {
    number: SegmentNumber,
    bytes: u64,
}

/// A journal over a disk.
pub struct Journal<D> {
    disk: D,
    settings: JournalSettings,
    closed: VecDeque<Segment>,
    current: Segment,
    buffer: Vec<u8>,
    has_failed: bool,
}

impl<D: Disk> Journal<D> {
    /// Reads what the disk holds, oldest record first, and begins a new segment, so that nothing is written behind
    /// a torn record. Returns the number of bytes behind whole records, left by writes that were torn.
    pub fn open(
        mut disk: D,
        settings: JournalSettings,
        mut replay: impl FnMut(&[u8]),
    ) -> Result<(Self, usize), JournalError> {
        let mut torn_bytes = 0;
        let mut closed = VecDeque::new();
        for number in disk.list()? {
            let (content, bytes) = disk.read(number)?;
            let end = read_records(content, bytes, &mut replay)?;
            torn_bytes += usize::try_from(bytes - end).unwrap_or(usize::MAX);
            closed.push_back(Segment { number, bytes });
        }
        if let Some(last) = closed.back() {
            // The process that wrote it may have ended before its sync did, and what was replayed is gone by from now on.
            disk.settle(last.number)?;
        }
        let number = closed.back().map_or(0, |last: &Segment| last.number + 1);
        disk.create(number)?;
        let current = Segment { number, bytes: 0 };
        let journal = Self { disk, settings, closed, current, buffer: Vec::new(), has_failed: false };
        Ok((journal, torn_bytes))
    }

    /// Makes records durable with one sync. After an error nothing more is committed: what a failed sync left
    /// behind is not known.
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
        let written = self.disk.append(&self.buffer).and_then(|()| self.disk.sync());
        if let Err(error) = written {
            self.has_failed = true;
            return Err(error.into());
        }
        self.current.bytes += bytes;
        Ok(())
    }

    /// Begins a new segment and returns its number.
    pub fn begin_segment(&mut self) -> Result<SegmentNumber, JournalError> {
        let number = self.current.number + 1;
        self.disk.create(number)?;
        self.closed.push_back(self.current);
        self.current = Segment { number, bytes: 0 };
        Ok(number)
    }

    /// Removes the segments below `number`; what of them still matters must have been committed again.
    pub fn remove_below(&mut self, number: SegmentNumber) -> Result<(), JournalError> {
        while let Some(oldest) = self.closed.front().copied().filter(|oldest| oldest.number < number) {
            self.disk.remove(oldest.number)?;
            self.closed.pop_front();
        }
        Ok(())
    }

    /// Bytes in all segments.
    pub fn total_bytes(&self) -> u64 {
        self.closed.iter().map(|segment| segment.bytes).sum::<u64>() + self.current.bytes
    }
}

//! A disk in memory that outlives its process and loses unsynced bytes on power loss.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use sumacdrift_journal::{Disk, SegmentNumber};

#[derive(Default)]
struct Segment {
    bytes: Vec<u8>,
    synced: usize,
}

#[derive(Default)]
struct State {
    segments: BTreeMap<SegmentNumber, Segment>,
    current: SegmentNumber,
    fails_next_sync: bool,
}

#[derive(Clone, Default)]
pub struct MemoryDisk(Arc<Mutex<State>>);

impl MemoryDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("a disk")
    }

    pub fn fail_next_sync(&self) {
        self.state().fails_next_sync = true;
    }

    pub fn bytes(&self) -> usize {
        self.state().segments.values().map(|segment| segment.bytes.len()).sum()
    }

    pub fn lose_unsynced(&self) {
        self.state().segments.values_mut().for_each(|segment| segment.bytes.truncate(segment.synced));
    }
}

impl Disk for MemoryDisk {
    fn list(&mut self) -> io::Result<Vec<SegmentNumber>> {
        Ok(self.state().segments.keys().copied().collect())
    }

    fn read(&mut self, segment: SegmentNumber) -> io::Result<(Box<dyn io::Read>, u64)> {
        let bytes = self.state().segments.get(&segment).ok_or(io::ErrorKind::NotFound)?.bytes.clone();
        let length = bytes.len() as u64;
        Ok((Box::new(io::Cursor::new(bytes)), length))
    }

    fn sync_existing(&mut self, segment: SegmentNumber) -> io::Result<()> {
        let mut state = self.state();
        let segment = state.segments.get_mut(&segment).ok_or(io::ErrorKind::NotFound)?;
        segment.synced = segment.bytes.len();
        Ok(())
    }

    fn create(&mut self, segment: SegmentNumber) -> io::Result<()> {
        let mut state = self.state();
        state.segments.insert(segment, Segment::default());
        state.current = segment;
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let current = state.current;
        state.segments.get_mut(&current).ok_or(io::ErrorKind::NotFound)?.bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.state();
        if std::mem::take(&mut state.fails_next_sync) {
            return Err(io::Error::other("the sync failed"));
        }
        let current = state.current;
        let segment = state.segments.get_mut(&current).ok_or(io::ErrorKind::NotFound)?;
        segment.synced = segment.bytes.len();
        Ok(())
    }

    fn remove(&mut self, segment: SegmentNumber) -> io::Result<()> {
        self.state().segments.remove(&segment);
        Ok(())
    }
}

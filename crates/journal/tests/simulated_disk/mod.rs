//! A simulated disk that keeps, tears or loses unsynced writes on power loss.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use rand::Rng;
use sumacdrift_journal::{Disk, SegmentNumber};

#[derive(Debug, Default)]
struct Content {
    synced: Vec<u8>,
    unsynced: Vec<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    segments: BTreeMap<SegmentNumber, Content>,
    current: SegmentNumber,
    should_fail_next_sync: bool,
}

/// An in-memory disk; its clones share the content.
#[derive(Debug, Clone, Default)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

impl SimulatedDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the disk's lock is not poisoned")
    }

    /// Makes the next sync fail and leave its writes unsynced.
    pub fn fail_next_sync(&self) {
        self.state().should_fail_next_sync = true;
    }

    /// Appends raw bytes to the current segment, as a torn write would.
    pub fn append_raw(&self, bytes: &[u8]) {
        let mut state = self.state();
        let current = state.current;
        state.segments.get_mut(&current).expect("a segment").synced.extend_from_slice(bytes);
    }

    /// Keeps, tears or loses each unsynced write at random.
    pub fn lose_power(&self, random: &mut impl Rng) {
        let mut state = self.state();
        for content in state.segments.values_mut() {
            for write in std::mem::take(&mut content.unsynced) {
                match random.random_range(0..3) {
                    0 => content.synced.extend_from_slice(&write),
                    1 => {
                        let kept = random.random_range(0..=write.len());
                        content.synced.extend_from_slice(&write[..kept]);
                        content.synced.extend(std::iter::repeat_n(0, write.len() - kept));
                    }
                    _ => {}
                }
            }
        }
    }
}

impl Disk for SimulatedDisk {
    fn list(&mut self) -> io::Result<Vec<SegmentNumber>> {
        Ok(self.state().segments.keys().copied().collect())
    }

    fn read(&mut self, segment: SegmentNumber) -> io::Result<(Box<dyn io::Read>, u64)> {
        let state = self.state();
        let content = state.segments.get(&segment).ok_or(io::ErrorKind::NotFound)?;
        let bytes = [content.synced.clone(), content.unsynced.concat()].concat();
        let length = bytes.len() as u64;
        Ok((Box::new(io::Cursor::new(bytes)), length))
    }

    fn sync_existing(&mut self, segment: SegmentNumber) -> io::Result<()> {
        let mut state = self.state();
        let content = state.segments.get_mut(&segment).ok_or(io::ErrorKind::NotFound)?;
        for write in std::mem::take(&mut content.unsynced) {
            content.synced.extend_from_slice(&write);
        }
        Ok(())
    }

    fn create(&mut self, segment: SegmentNumber) -> io::Result<()> {
        let mut state = self.state();
        state.segments.insert(segment, Content::default());
        state.current = segment;
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let current = state.current;
        let content = state.segments.get_mut(&current).ok_or(io::ErrorKind::NotFound)?;
        content.unsynced.push(bytes.to_vec());
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.state();
        if std::mem::take(&mut state.should_fail_next_sync) {
            return Err(io::Error::other("the sync failed"));
        }
        let current = state.current;
        let content = state.segments.get_mut(&current).ok_or(io::ErrorKind::NotFound)?;
        for write in std::mem::take(&mut content.unsynced) {
            content.synced.extend_from_slice(&write);
        }
        Ok(())
    }

    fn remove(&mut self, segment: SegmentNumber) -> io::Result<()> {
        self.state().segments.remove(&segment);
        Ok(())
    }
}

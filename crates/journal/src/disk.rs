//! Storage interface: numbered segments that can be appended to and synced.

use std::fs::{File, OpenOptions};
use std::io::{self, BufReader, Read, Write};
use std::path::PathBuf;

/// Number of a segment; newer segments have higher numbers.
pub type SegmentNumber = u64;

/// Storage of the journal's segments.
pub trait Disk: Send {
    /// Lists the existing segments in ascending order.
    fn list(&mut self) -> io::Result<Vec<SegmentNumber>>;
    /// Opens a segment for reading from its start; also returns its length in bytes.
    fn read(&mut self, segment: SegmentNumber) -> io::Result<(Box<dyn Read>, u64)>;
    /// Syncs a segment written by an earlier process.
    fn sync_existing(&mut self, segment: SegmentNumber) -> io::Result<()>;
    /// Creates an empty segment, which receives all later appends.
    fn create(&mut self, segment: SegmentNumber) -> io::Result<()>;
    /// Appends to the segment created last.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes all appended bytes durable.
    fn sync(&mut self) -> io::Result<()>;
    /// Removes a segment.
    fn remove(&mut self, segment: SegmentNumber) -> io::Result<()>;
}

/// Stores segments as files in a directory.
#[derive(Debug)]
pub struct DirectoryDisk {
    directory: PathBuf,
    current_segment: Option<File>,
}

const SEGMENT_SUFFIX: &str = ".journal";

impl DirectoryDisk {
    /// Uses `directory`, which is created if it does not exist.
    pub fn open(directory: PathBuf) -> io::Result<Self> {
        std::fs::create_dir_all(&directory)?;
        Ok(Self { directory, current_segment: None })
    }

    fn path(&self, segment: SegmentNumber) -> PathBuf {
        self.directory.join(format!("{segment:012}{SEGMENT_SUFFIX}"))
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.directory)?.sync_all()
    }

    fn current_file(&mut self) -> io::Result<&mut File> {
        self.current_segment.as_mut().ok_or_else(|| io::Error::other("no segment is open"))
    }
}

impl Disk for DirectoryDisk {
    fn list(&mut self) -> io::Result<Vec<SegmentNumber>> {
        let mut segments = Vec::new();
        for entry in std::fs::read_dir(&self.directory)? {
            let name = entry?.file_name();
            let number = name.to_str().and_then(|name| name.strip_suffix(SEGMENT_SUFFIX));
            segments.extend(number.and_then(|number| number.parse::<SegmentNumber>().ok()));
        }
        segments.sort_unstable();
        Ok(segments)
    }

    fn read(&mut self, segment: SegmentNumber) -> io::Result<(Box<dyn Read>, u64)> {
        let file = File::open(self.path(segment))?;
        let length = file.metadata()?.len();
        Ok((Box::new(BufReader::new(file)), length))
    }

    fn sync_existing(&mut self, segment: SegmentNumber) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path(segment))?.sync_data()
    }

    fn create(&mut self, segment: SegmentNumber) -> io::Result<()> {
        let file = OpenOptions::new().create(true).write(true).truncate(true).open(self.path(segment))?;
        file.sync_all()?;
        self.sync_directory()?;
        self.current_segment = Some(file);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.current_file()?.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.current_file()?.sync_data()
    }

    fn remove(&mut self, segment: SegmentNumber) -> io::Result<()> {
        std::fs::remove_file(self.path(segment))?;
        self.sync_directory()
    }
}

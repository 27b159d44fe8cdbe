//! The storage port: numbered segments that can be appended to and synced.

use std::fs::{File, OpenOptions};
use std::io::{self, BufReader, Read, Write};
use std::path::PathBuf;

/// Number of a segment; later segments have higher numbers.
pub type SegmentNumber = u64;

/// Where segments lie.
pub trait Disk: Send {
    /// The segments there are, lowest first.
    fn list(&mut self) -> io::Result<Vec<SegmentNumber>>;
    /// The content of a segment, from its start on, and its length in bytes.
    fn read(&mut self, segment: SegmentNumber) -> io::Result<(Box<dyn Read>, u64)>;
    /// Makes durable whatever a segment of an earlier life holds.
    fn settle(&mut self, segment: SegmentNumber) -> io::Result<()>;
    /// Makes an empty segment that later appends go to.
    fn create(&mut self, segment: SegmentNumber) -> io::Result<()>;
    /// Appends to the segment created last.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes everything appended so far durable.
    fn sync(&mut self) -> io::Result<()>;
    /// Removes a segment.
    fn remove(&mut self, segment: SegmentNumber) -> io::Result<()>;
}

/// Segments as files of one folder.
#[derive(Debug)]
pub struct FolderDisk {
    folder: PathBuf,
    open: Option<File>,
}

const SEGMENT_SUFFIX: &str = ".journal";

impl FolderDisk {
    /// Uses a folder, which is made if need be.
    pub fn open(folder: PathBuf) -> io::Result<Self> {
        std::fs::create_dir_all(&folder)?;
        Ok(Self { folder, open: None })
    }

    fn path(&self, segment: SegmentNumber) -> PathBuf {
        self.folder.join(format!("{segment:012}{SEGMENT_SUFFIX}"))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn current(&mut self) -> io::Result<&mut File> {
        self.open.as_mut().ok_or_else(|| io::Error::other("no segment is open"))
    }
}

impl Disk for FolderDisk {
    fn list(&mut self) -> io::Result<Vec<SegmentNumber>> {
        let mut segments = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
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

    fn settle(&mut self, segment: SegmentNumber) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path(segment))?.sync_data()
    }

    fn create(&mut self, segment: SegmentNumber) -> io::Result<()> {
        let file = OpenOptions::new().create(true).write(true).truncate(true).open(self.path(segment))?;
        file.sync_all()?;
        self.sync_folder()?;
        self.open = Some(file);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.current()?.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.current()?.sync_data()
    }

    fn remove(&mut self, segment: SegmentNumber) -> io::Result<()> {
        std::fs::remove_file(self.path(segment))?;
        self.sync_folder()
    }
}

//! A durable journal: records survive power loss once [`Journal::commit`] has returned.
//!
//! Records are stored in numbered segments, each with its length and a checksum. A torn or lost record ends the
//! replay of its segment, since nothing after it was acknowledged. Storage is accessed through the [`Disk`] trait,
//! so that tests can simulate lost and torn writes.

mod disk;
mod journal;
mod record;
mod writer;

pub use disk::{DirectoryDisk, Disk, SegmentNumber};
pub use journal::{Journal, JournalError, JournalSettings};
pub use record::{RECORD_HEADER_BYTES, encode_record, read_records};
pub use writer::{CommitCallback, JournalFailure, JournalWriter, WriterStopped};

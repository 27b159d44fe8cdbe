//! A durable journal: records that survive a loss of power once [`Journal::commit`] has returned.
//!
//! Records lie in numbered segments, each record with its length and a checksum. A record whose write was torn or
//! lost ends the replay of its segment: everything after it was never acknowledged. The disk stands behind the
//! [`Disk`] port, so that tests can lose and tear writes as they like.

mod disk;
mod journal;
mod record;
mod writer;

pub use disk::{Disk, FolderDisk, SegmentNumber};
pub use journal::{Journal, JournalError, JournalSettings};
pub use record::{RECORD_HEADER_BYTES, encode_record, read_records};
pub use writer::{Committed, JournalFailure, JournalWriter, WriterStopped};

//! How a record lies in a segment: length, checksum, content.

use std::io::{self, Read};

/// Bytes before each record: its length and its checksum, four bytes each, little endian.
pub const RECORD_HEADER_BYTES: usize = 8;

const LENGTH_BYTES: usize = 4;

/// Appends a record to a buffer.
pub fn encode_record(content: &[u8], to: &mut Vec<u8>) {
    to.extend_from_slice(&(content.len() as u32).to_le_bytes());
    to.extend_from_slice(&checksum(content).to_le_bytes());
    to.extend_from_slice(content);
}

/// Reads records from the start of a segment of so many bytes up to the first one that is torn, one after the other in
/// the same memory, and says where that is.
pub fn read_records(
    mut segment: impl Read,
    segment_bytes: u64,
    mut take: impl FnMut(&[u8]),
) -> io::Result<u64> {
    let mut content = Vec::new();
    let mut position = 0;
    while read_record(&mut segment, segment_bytes - position, &mut content)? {
        take(&content);
        position += (RECORD_HEADER_BYTES + content.len()) as u64;
    }
    Ok(position)
}

/// Reads the next record of a segment that has so many bytes left; returns whether it is whole.
fn read_record(segment: &mut impl Read, bytes_left: u64, content: &mut Vec<u8>) -> io::Result<bool> {
    let header_bytes = RECORD_HEADER_BYTES as u64;
    if bytes_left < header_bytes {
        return Ok(false);
    }
    let (mut length, mut sum) = ([0; LENGTH_BYTES], [0; LENGTH_BYTES]);
    segment.read_exact(&mut length)?;
    segment.read_exact(&mut sum)?;
    let length = u32::from_le_bytes(length);
    // An empty record is never written; a run of zeros left by a torn write would look like one. A length that the
    // segment does not have is one that was torn, and no memory is taken for it.
    if length == 0 || u64::from(length) > bytes_left - header_bytes {
        return Ok(false);
    }
    content.resize(length as usize, 0);
    segment.read_exact(content)?;
    Ok(checksum(content) == u32::from_le_bytes(sum))
}

fn checksum(content: &[u8]) -> u32 {
    crc32fast::hash(content)
}

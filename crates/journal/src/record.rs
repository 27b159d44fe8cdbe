//! Record format within a segment: length, checksum, content.

use std::io::{self, Read};

/// Size of a record's header: length and CRC-32 checksum of the content, four bytes each, little endian.
pub const RECORD_HEADER_BYTES: usize = 8;

const LENGTH_BYTES: usize = 4;

/// Appends an encoded record to a buffer.
pub fn encode_record(content: &[u8], buffer: &mut Vec<u8>) {
    buffer.extend_from_slice(&(content.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&checksum(content).to_le_bytes());
    buffer.extend_from_slice(content);
}

/// Passes each record of a segment to `take`, up to the first torn one, reusing one buffer. Returns the length of the
/// intact records in bytes.
pub fn read_records(
    mut segment: impl Read,
    segment_bytes: u64,
    mut take: impl FnMut(&[u8]),
) -> io::Result<u64> {
    let mut content = Vec::new();
    let mut offset = 0;
    while read_record(&mut segment, segment_bytes - offset, &mut content)? {
        take(&content);
        offset += (RECORD_HEADER_BYTES + content.len()) as u64;
    }
    Ok(offset)
}

/// Reads the next record into `content`; returns whether it is intact. `bytes_left` is the size of the rest of the
/// segment.
fn read_record(segment: &mut impl Read, bytes_left: u64, content: &mut Vec<u8>) -> io::Result<bool> {
    let header_bytes = RECORD_HEADER_BYTES as u64;
    if bytes_left < header_bytes {
        return Ok(false);
    }
    let (mut length, mut expected_checksum) = ([0; LENGTH_BYTES], [0; LENGTH_BYTES]);
    segment.read_exact(&mut length)?;
    segment.read_exact(&mut expected_checksum)?;
    let length = u32::from_le_bytes(length);
    // Records are never empty, but zeros left by a torn write would look like an empty one. A length beyond the end of
    // the segment is torn too and must not be allocated.
    if length == 0 || u64::from(length) > bytes_left - header_bytes {
        return Ok(false);
    }
    content.resize(length as usize, 0);
    segment.read_exact(content)?;
    Ok(checksum(content) == u32::from_le_bytes(expected_checksum))
}

fn checksum(content: &[u8]) -> u32 {
    crc32fast::hash(content)
}

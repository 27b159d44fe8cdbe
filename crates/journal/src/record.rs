//! How a record lies in a segment: length, checksum, content.

/// Bytes before each record: its length and its checksum, four bytes each, little endian.
pub const RECORD_HEADER_BYTES: usize = 8;

const LENGTH_BYTES: usize = 4;

/// Appends a record to a buffer.
pub fn encode_record(content: &[u8], to: &mut Vec<u8>) {
    to.extend_from_slice(&(content.len() as u32).to_le_bytes());
    to.extend_from_slice(&checksum(content).to_le_bytes());
    to.extend_from_slice(content);
}

/// Reads records from the start of a segment up to the first one that is torn, and says where that is.
pub fn decode_records(segment: &[u8]) -> (Vec<&[u8]>, usize) {
    let mut records = Vec::new();
    let mut position = 0;
    while let Some(content) = record_at(segment, position) {
        records.push(content);
        position += RECORD_HEADER_BYTES + content.len();
    }
    (records, position)
}

fn record_at(segment: &[u8], position: usize) -> Option<&[u8]> {
    let header = segment.get(position..position + RECORD_HEADER_BYTES)?;
    let (length, sum) = header.split_at(LENGTH_BYTES);
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(sum.try_into().ok()?);
    let start = position + RECORD_HEADER_BYTES;
    let content = segment.get(start..start.checked_add(length)?)?;
    // An empty record is never written; a run of zeros left by a torn write would look like one.
    let is_whole = length > 0 && checksum(content) == sum;
    is_whole.then_some(content)
}

fn checksum(content: &[u8]) -> u32 {
    crc32fast::hash(content)
}

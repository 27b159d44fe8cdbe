//! Splits a stream of server-sent events into complete events without changing their bytes.

use bytes::{Bytes, BytesMut};

/// A complete server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The raw bytes, including the terminating blank line.
    pub bytes: Bytes,
    /// Value of the last `id` field; `None` if that is empty, as it names no event.
    pub id: Option<String>,
    /// Whether the event has a `data` field; comments have none.
    pub has_data: bool,
}

impl StreamEvent {
    /// Appends the value of each `data` field, followed by a line feed.
    pub fn append_data(&self, output: &mut Vec<u8>) {
        for line in lines(&self.bytes) {
            if let Some(data) = field(line, DATA) {
                output.extend_from_slice(data);
                output.push(b'\n');
            }
        }
    }
}

const DATA: &[u8] = b"data";
const ID: &[u8] = b"id";

/// Longest event of a sound engine. Limits the memory that one stream takes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Buffers a stream and returns its complete events, so that a partial event of an interrupted stream is never
/// forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    search_start: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = self.find_event_end() else {
            self.search_start = self.pending.len().saturating_sub(MAX_TERMINATOR_BYTES);
            return None;
        };
        self.search_start = 0;
        let bytes = self.pending.split_to(end).freeze();
        let id = lines(&bytes).filter_map(|line| field(line, ID)).last().filter(|id| !id.is_empty());
        let id = id.and_then(|id| std::str::from_utf8(id).ok()).map(str::to_owned);
        let has_data = lines(&bytes).any(|line| field(line, DATA).is_some());
        Some(StreamEvent { bytes, id, has_data })
    }

    /// Whether the event that has begun is longer than any of a sound engine. To be asked after [`Self::next_event`].
    pub fn is_event_too_long(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Bytes after the last returned event.
    pub fn rest(&self) -> &[u8] {
        &self.pending
    }

    /// Whether the bytes after the last returned event show that another one, with an id or data, has begun.
    pub fn has_begun_event(&self) -> bool {
        lines(&self.pending).any(|line| field(line, ID).is_some() || field(line, DATA).is_some())
    }

    /// Discards the buffered bytes.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.search_start = 0;
    }

    fn find_event_end(&self) -> Option<usize> {
        let from = self.search_start;
        let tail = &self.pending[from..];
        for (position, byte) in tail.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let following = &tail[position + 1..];
            if following.first() == Some(&b'\n') {
                return Some(from + position + 2);
            }
            if following.starts_with(b"\r\n") {
                return Some(from + position + 3);
            }
        }
        None
    }
}

/// Length of the longest event terminator, `\n\r\n`.
const MAX_TERMINATOR_BYTES: usize = 3;

fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Value of a field line `name: value`, without the single space after the colon.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

//! Splitting a stream of server-sent events into whole events, byte for byte.

use bytes::{Bytes, BytesMut};

/// A whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, with the blank line at its end.
    pub bytes: Bytes,
    /// Its id.
    pub id: Option<String>,
    /// Whether it carries data; comments do not.
    pub has_data: bool,
}

impl StreamEvent {
    /// Appends the event's data, with a line feed behind.
    pub fn append_data(&self, to: &mut Vec<u8>) {
        for line in lines(&self.bytes) {
            if let Some(data) = field(line, DATA) {
                to.extend_from_slice(data);
                to.push(b'\n');
            }
        }
    }
}

const DATA: &[u8] = b"data";
const ID: &[u8] = b"id";

/// Gathers pieces of a stream until events are whole. What an engine that breaks off leaves of an event never gets
/// out.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.pending.extend_from_slice(piece);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = self.event_end() else {
            self.searched = self.pending.len().saturating_sub(BLANK_LINE_BYTES);
            return None;
        };
        self.searched = 0;
        let bytes = self.pending.split_to(end).freeze();
        let id = lines(&bytes).find_map(|line| field(line, ID));
        let id = id.and_then(|id| std::str::from_utf8(id).ok()).map(str::to_owned);
        let has_data = lines(&bytes).any(|line| field(line, DATA).is_some());
        Some(StreamEvent { bytes, id, has_data })
    }

    /// Bytes behind the last whole event.
    pub fn rest(&self) -> &[u8] {
        &self.pending
    }

    /// Forgets what is not a whole event.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }

    fn event_end(&self) -> Option<usize> {
        let from = self.searched;
        let tail = &self.pending[from..];
        for (position, byte) in tail.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let behind = &tail[position + 1..];
            if behind.first() == Some(&b'\n') {
                return Some(from + position + 2);
            }
            if behind.starts_with(b"\r\n") {
                return Some(from + position + 3);
            }
        }
        None
    }
}

/// Longest end of an event: a line feed, then an empty line of two bytes.
const BLANK_LINE_BYTES: usize = 3;

fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// The value of a line `name: value`, without the one blank behind the colon.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

//! Parser for server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Larger events are rejected.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Result<(), EventTooLarge> {
        if self.buffer.len() + chunk.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// The data of the next complete event. Comments and other fields are skipped.
    pub(crate) fn next_data(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
            let line = self.buffer.split_to(end).freeze();
            self.buffer.advance(1);
            let line = line.strip_suffix(b"\r").map_or(line.clone(), |kept| line.slice_ref(kept));
            if let Some(data) = line.strip_prefix(b"data:") {
                let data = data.strip_prefix(b" ").unwrap_or(data);
                return Some(line.slice_ref(data));
            }
        }
    }
}

//! Framing on a byte stream: a big-endian four-byte length followed by the encoded frame.

use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use futures::StreamExt;
use sumacdrift_proto::{Frame, Wire};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

use crate::TrafficCounters;

/// Largest frame accepted. A shard's whole state is sent in one frame.
const MAX_FRAME_BYTES: usize = 256 << 20;
/// Bytes that are batched into one write.
const WRITE_BATCH_BYTES: usize = 64 << 10;
/// Size of the length prefix.
const LENGTH_PREFIX_BYTES: usize = 4;

pub(crate) struct FrameReader<R> {
    frames: FramedRead<R, LengthDelimitedCodec>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    pub(crate) fn new(stream: R) -> Self {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { frames: FramedRead::new(stream, codec) }
    }

    /// The next frame; `None` at the end of the stream.
    pub(crate) async fn next(&mut self, counters: &TrafficCounters) -> io::Result<Option<Frame>> {
        let Some(bytes) = self.frames.next().await else { return Ok(None) };
        let bytes: Bytes = bytes?.freeze();
        counters.record_received(bytes.len() + LENGTH_PREFIX_BYTES);
        let frame =
            Frame::decode(bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        Ok(Some(frame))
    }
}

/// Writes frames from a queue until it is closed. Small frames that are queued at the same time are written together; a large
/// one is written from its own buffer, so that its content is not copied once more.
pub(crate) async fn write_frames<W: AsyncWrite + Unpin>(
    mut stream: W,
    frames: &mut mpsc::Receiver<Frame>,
    counters: &TrafficCounters,
) -> io::Result<()> {
    let mut batch = BytesMut::with_capacity(WRITE_BATCH_BYTES);
    while let Some(frame) = frames.recv().await {
        let mut large = append(&mut batch, &frame, counters);
        drop(frame);
        while large.is_none() && batch.len() < WRITE_BATCH_BYTES {
            let Ok(frame) = frames.try_recv() else { break };
            large = append(&mut batch, &frame, counters);
        }
        stream.write_all(&batch).await?;
        batch.clear();
        if let Some(large) = large {
            stream.write_all(&large).await?;
        }
        stream.flush().await?;
    }
    stream.shutdown().await
}

/// Appends a frame to a batch, or only its length if it is large; then its encoded bytes are returned, to be written next.
fn append(batch: &mut BytesMut, frame: &Frame, counters: &TrafficCounters) -> Option<Bytes> {
    let bytes = frame.encode();
    counters.record_sent(bytes.len() + LENGTH_PREFIX_BYTES);
    batch.put_u32(bytes.len() as u32);
    if bytes.len() >= WRITE_BATCH_BYTES {
        return Some(bytes);
    }
    batch.put_slice(&bytes);
    None
}

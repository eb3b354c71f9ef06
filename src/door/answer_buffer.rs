use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

/// size limit of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// size limit of all incomplete answers of a door together: a fifth of the memory of a small front machine.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// memory use of all answers that a door is still reading.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerBuffers {
    buffered_bytes: Arc<AtomicUsize>,
}

/// why an answer could not be read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadFailure {
    /// the replica closed the connection before the end.
    Broken,
    /// it exceeds the limit of one answer, or what the other answers leave of the total.
    TooLarge,
}

impl AnswerBuffers {
    /// reads an answer to its end.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, ReadFailure> {
        if body.size_hint().lower() > MAX_ANSWER_BYTES as u64 {
            return Err(ReadFailure::TooLarge);
        }
        let mut reserved = ReservedBytes { buffers: self, bytes: 0 };
        // Chunks are copied: a received chunk may keep a larger connection buffer alive.
        let mut chunks: Vec<Box<[u8]>> = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadFailure::Broken)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if !reserved.grow(data.len()) {
                return Err(ReadFailure::TooLarge);
            }
            chunks.push(Box::from(data.as_ref()));
        }
        Ok(Bytes::from(chunks.concat()))
    }
}

/// bytes of one answer, counted against the total until it is complete or abandoned.
struct ReservedBytes<'a> {
    buffers: &'a AnswerBuffers,
    bytes: usize,
}

impl ReservedBytes<'_> {
    /// counts further bytes; `false` if a limit is exceeded.
    fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let buffered_bytes = self.buffers.buffered_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes <= MAX_ANSWER_BYTES && buffered_bytes <= MAX_BUFFERED_BYTES
    }
}

impl Drop for ReservedBytes<'_> {
    fn drop(&mut self) {
        self.buffers.buffered_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

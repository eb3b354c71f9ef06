use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

/// largest answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// bytes of unfinished answers that a door holds at once: a fifth of the memory of a small front machine.
const MAX_HELD_BYTES: usize = 16 << 20;

/// bytes of all answers of a door that are not whole yet.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerBuffers {
    held_bytes: Arc<AtomicUsize>,
}

/// why an answer is not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadFailure {
    /// the replica broke it off.
    Broken,
    /// it is larger than any answer, or than the room that the others leave.
    TooLarge,
}

impl AnswerBuffers {
    /// reads a whole answer.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, ReadFailure> {
        if body.size_hint().lower() > MAX_ANSWER_BYTES as u64 {
            return Err(ReadFailure::TooLarge);
        }
        let mut held = Held { buffers: self, bytes: 0 };
        // Pieces are copied: as they come, each may keep a larger buffer of the connection alive.
        let mut pieces: Vec<Box<[u8]>> = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadFailure::Broken)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if !held.grow(data.len()) {
                return Err(ReadFailure::TooLarge);
            }
            pieces.push(Box::from(data.as_ref()));
        }
        Ok(Bytes::from(pieces.concat()))
    }
}

/// bytes of one answer, which count until it is whole or given up.
struct Held<'a> {
    buffers: &'a AnswerBuffers,
    bytes: usize,
}

impl Held<'_> {
    /// counts further bytes; `false` if there is no room for them.
    fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let held_bytes = self.buffers.held_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes <= MAX_ANSWER_BYTES && held_bytes <= MAX_HELD_BYTES
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.buffers.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

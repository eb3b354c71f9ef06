use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::door::BufferBudget;
use crate::door::BufferShare;

/// size limit of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// reads answers, within the memory that all of a door may take.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerBuffers {
    budget: BufferBudget,
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
        let mut share = self.share();
        let mut byte_count = 0;
        // Chunks are copied: a received chunk may keep a larger connection buffer alive.
        let mut chunks: Vec<Box<[u8]>> = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadFailure::Broken)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            byte_count += data.len();
            if byte_count > MAX_ANSWER_BYTES || !share.grow(data.len()) {
                return Err(ReadFailure::TooLarge);
            }
            chunks.push(Box::from(data.as_ref()));
        }
        Ok(Bytes::from(chunks.concat()))
    }

    /// a share of the memory, for an answer that is read elsewhere.
    pub fn share(&self) -> BufferShare {
        self.budget.share()
    }
}

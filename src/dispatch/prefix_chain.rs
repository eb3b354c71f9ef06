use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::schema::ChatMessage;

/// bytes of a message's JSON that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// first boundaries that are kept; programs share these.
const HEAD_BOUNDARIES: usize = 4;

/// last boundaries that are kept; the program itself left these behind.
const TAIL_BOUNDARIES: usize = 6;

/// the end of a run of whole messages from the start of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Boundary {
    /// digest of the run, as engines name it in cache events.
    pub digest: u64,
    /// estimated tokens of the run.
    pub tokens: u64,
}

/// digests of the prefixes of one program's prompt, extended as the history grows.
#[derive(Clone, Debug, Default)]
pub struct PrefixChain {
    message_count: usize,
    last: Boundary,
    head: Vec<Boundary>,
    tail: Vec<Boundary>,
}

impl PrefixChain {
    /// takes the whole prompt; only messages that are new since the last call are read.
    pub fn extend(&mut self, messages: &[ChatMessage]) {
        if messages.len() < self.message_count {
            *self = Self::default();
        }
        for message in &messages[self.message_count..] {
            self.push(message);
        }
    }

    /// the whole prompt.
    pub fn last(&self) -> Boundary {
        self.last
    }

    /// the boundaries that are kept, the longest first.
    pub fn boundaries(&self) -> impl Iterator<Item = &Boundary> {
        self.tail.iter().rev().chain(self.head.iter().rev())
    }

    /// adds a boundary whose message was digested elsewhere.
    pub fn push_boundary(&mut self, boundary: Boundary) {
        self.last = boundary;
        if self.head.len() < HEAD_BOUNDARIES {
            self.head.push(self.last);
            return;
        }
        if self.tail.len() == TAIL_BOUNDARIES {
            self.tail.remove(0);
        }
        self.tail.push(self.last);
    }

    fn push(&mut self, message: &ChatMessage) {
        let json = serde_json::to_vec(message).unwrap_or_default();
        let digest = xxh3_64_with_seed(&json, self.last.digest);
        let tokens = self.last.tokens + (json.len() as u64).div_ceil(BYTES_PER_TOKEN);
        self.message_count += 1;
        self.push_boundary(Boundary { digest, tokens });
    }
}

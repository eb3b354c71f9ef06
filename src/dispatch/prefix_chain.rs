use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::schema::ChatMessage;

/// bytes of message JSON that are estimated as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// number of first boundaries that are kept: other programs may share them.
const HEAD_BOUNDARIES: usize = 4;

/// number of last boundaries that are kept: the program's own earlier turns cached them.
const TAIL_BOUNDARIES: usize = 6;

/// a prefix of a prompt that ends between two messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Boundary {
    /// digest of the prefix, as engines send it in cache events.
    pub digest: u64,
    /// estimated length of the prefix.
    pub tokens: u64,
}

/// chained digests of the prefixes of one program's prompt, extended as the history grows.
#[derive(Clone, Debug, Default)]
pub struct PrefixChain {
    message_count: usize,
    last: Boundary,
    head: Vec<Boundary>,
    tail: Vec<Boundary>,
}

impl PrefixChain {
    /// digests the messages that are new since the last call; a shorter prompt starts the chain again.
    pub fn extend(&mut self, messages: &[ChatMessage]) {
        if messages.len() < self.message_count {
            *self = Self::default();
        }
        for message in &messages[self.message_count..] {
            self.push(message);
        }
    }

    /// the boundary at the end of the prompt.
    pub fn last(&self) -> Boundary {
        self.last
    }

    /// the boundaries that are kept, longest prefix first.
    pub fn boundaries(&self) -> impl Iterator<Item = &Boundary> {
        self.tail.iter().rev().chain(self.head.iter().rev())
    }

    /// adds a boundary that the caller computed.
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

use std::collections::HashMap;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64;

/// time for which an answer shows that requests with a path or an input do not end replicas as such.
const ANSWERED_MS: u64 = 60_000;
/// limit of answers that are remembered, oldest forgotten first: those of a minute of a busy door.
const MAX_ANSWERS: usize = 16_384;

/// what replicas have run to a successful end of late, by the digests that many requests share.
#[derive(Debug, Default)]
pub struct AnsweredContents {
    /// time of the last answer, by the hash of the digest.
    answered_ms: HashMap<u64, u64>,
    /// all answers, oldest first.
    order: VecDeque<(u64, u64)>,
}

impl AnsweredContents {
    /// records a successful answer.
    pub fn record(&mut self, now_ms: u64, digest: &str) {
        let hash = xxh3_64(digest.as_bytes());
        let known = self.answered_ms.insert(hash, now_ms);
        if known.is_none_or(|known_ms| known_ms != now_ms) {
            self.order.push_back((now_ms, hash));
        }
        while let Some(&(at_ms, hash)) = self.order.front() {
            if now_ms < at_ms + ANSWERED_MS && self.order.len() <= MAX_ANSWERS {
                break;
            }
            self.order.pop_front();
            if self.answered_ms.get(&hash) == Some(&at_ms) {
                self.answered_ms.remove(&hash);
            }
        }
    }

    /// whether there was an answer of late.
    pub fn is_recent(&self, now_ms: u64, digest: &str) -> bool {
        let answered_ms = self.answered_ms.get(&xxh3_64(digest.as_bytes()));
        answered_ms.is_some_and(|at_ms| now_ms < at_ms + ANSWERED_MS)
    }
}

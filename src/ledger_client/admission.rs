use std::collections::VecDeque;

use slotmap::SlotMap;
use slotmap::new_key_type;

/// answer time of the ledger below which it never counts as overloaded: many round trips between availability zones, and
/// a wait that the aims of turns still have room for.
const LATE_MS: f64 = 100.0;
/// how much longer than the least an answer takes if questions wait for the processors of the ledger.
const LATE_FACTOR: f64 = 2.0;
/// answer time from which the ledger counts as overloaded in any case: little later, turns are given up.
const ALWAYS_LATE_MS: f64 = 500.0;
/// growth of the least answer time with each answer, so that a ledger that has become slower for good is noticed within
/// some minutes.
const LEAST_DRIFT: f64 = 1.001;
/// the longest wait for a place; a turn that would wait longer is refused at once, so that its caller can come back.
pub(super) const LONGEST_WAIT_MS: u64 = 300;
/// turns at once that the ledger is trusted with at the start.
const FIRST_LIMIT: f64 = 64.0;
const LEAST_LIMIT: f64 = 1.0;
const MOST_LIMIT: f64 = 256.0;
/// part of the limit that remains after a late answer (multiplicative decrease, Chiu and Jain 1989).
const DECREASE: f64 = 0.8;
/// weight of the newest answer time in the average.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;

new_key_type! {
    /// names a turn that waits for a place.
    pub struct WaitKey;
}

/// what becomes of a turn that asks for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// it has one.
    Admitted,
    /// it waits for one.
    Waits(WaitKey),
    /// it would wait too long.
    Refused {
        /// how long it would wait.
        wait_ms: u64,
    },
}

/// bounds how many turns of a door ask the ledger at once, by how long the ledger takes to answer.
///
/// The limit grows by one for each round of answers in time, and falls by a part when one is late: additive increase and
/// multiplicative decrease, by which many doors share what the ledger bears without knowing of each other.
#[derive(Debug)]
pub struct Admission {
    limit: f64,
    under_way: usize,
    waiting: SlotMap<WaitKey, ()>,
    queue: VecDeque<WaitKey>,
    /// usual answer time.
    mean_ms: f64,
    /// the least answer time of late, which shows how long an answer takes without a queue.
    least_ms: f64,
    lowered_ms: u64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            limit: FIRST_LIMIT,
            under_way: 0,
            waiting: SlotMap::default(),
            queue: VecDeque::new(),
            mean_ms: 0.0,
            least_ms: f64::INFINITY,
            lowered_ms: 0,
        }
    }
}

impl Admission {
    /// turns that may ask the ledger at once.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// turns that ask the ledger.
    pub fn under_way(&self) -> usize {
        self.under_way
    }

    /// takes a turn that wants to ask the ledger.
    pub fn enter(&mut self) -> Entry {
        if self.under_way < self.limit() && self.waiting.is_empty() {
            self.under_way += 1;
            return Entry::Admitted;
        }
        let wait_ms = (self.waiting.len() + 1) as f64 * self.mean_ms / self.limit;
        if wait_ms > LONGEST_WAIT_MS as f64 {
            return Entry::Refused { wait_ms: wait_ms as u64 };
        }
        let key = self.waiting.insert(());
        self.queue.push_back(key);
        Entry::Waits(key)
    }

    /// a turn gives up waiting, as its caller left or it took too long; a place that it was given meanwhile is free.
    pub fn give_up(&mut self, key: WaitKey) {
        if self.waiting.remove(key).is_none() {
            self.under_way -= 1;
        }
    }

    /// a turn has heard from the ledger, or has given up on it, after `took_ms`; its place is free.
    pub fn leave(&mut self, now_ms: u64, took_ms: u64) {
        let used = self.under_way as f64;
        self.under_way -= 1;
        let answer_ms = took_ms as f64;
        self.mean_ms += MEAN_WEIGHT * (answer_ms - self.mean_ms);
        self.least_ms = answer_ms.min(self.least_ms * LEAST_DRIFT);
        let late_ms = (LATE_FACTOR * self.least_ms).clamp(LATE_MS, ALWAYS_LATE_MS);
        if answer_ms < late_ms {
            // A limit that is not used proves nothing.
            if used >= self.limit / 2.0 {
                self.limit = (self.limit + 1.0 / self.limit).min(MOST_LIMIT);
            }
        } else if now_ms.saturating_sub(took_ms) >= self.lowered_ms {
            // Answers to questions from before the last reduction tell of the overload that it answered.
            self.lowered_ms = now_ms;
            self.limit = (self.limit.min(used) * DECREASE).max(LEAST_LIMIT);
        }
    }

    /// the next turn that has a place now.
    pub fn next_admitted(&mut self) -> Option<WaitKey> {
        if self.under_way >= self.limit() {
            return None;
        }
        while let Some(key) = self.queue.pop_front() {
            if self.waiting.remove(key).is_some() {
                self.under_way += 1;
                return Some(key);
            }
        }
        None
    }
}

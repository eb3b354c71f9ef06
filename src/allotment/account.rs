use std::collections::VecDeque;

use crate::allotment::AllotmentTerms;
use crate::schema::AllotmentAsk;
use crate::schema::AllotmentReturn;

/// time constant of the mean number of requests that follow the first one of a program: several programs long.
const PROGRAM_TIME_MS: f64 = 20_000.0;
/// programs without a further request that the mean begins with, so that the first few do not decide it.
const ASSUMED_SHORT_PROGRAMS: f64 = 4.0;
/// mean number of requests below which a workspace is forgotten.
const FORGOTTEN_REQUESTS: f64 = 0.1;

/// what a ledger node has granted of one workspace's allotment.
#[derive(Debug)]
pub(super) struct Account {
    terms: AllotmentTerms,
    /// tokens granted and not given back, by slot, the oldest first.
    slots: VecDeque<(u64, u64)>,
    /// sum of `slots`.
    granted: u64,
    /// requests that programs begun before are still expected to send, beside what a steady rate covers.
    expected: f64,
    starts: f64,
    turns: f64,
    updated_ms: u64,
}

impl Account {
    pub fn new(now_ms: u64, terms: AllotmentTerms) -> Self {
        Self {
            terms,
            slots: VecDeque::new(),
            granted: 0,
            expected: 0.0,
            starts: 0.0,
            turns: 0.0,
            updated_ms: now_ms,
        }
    }

    /// takes over terms of a newer configuration.
    pub fn adopt(&mut self, terms: AllotmentTerms) {
        if terms.version > self.terms.version {
            self.terms = terms;
        }
    }

    pub fn terms(&self) -> AllotmentTerms {
        self.terms
    }

    /// whether nothing is left of it that another question would have to know.
    pub fn is_forgotten(&self) -> bool {
        self.slots.is_empty() && self.starts + self.turns < FORGOTTEN_REQUESTS
    }

    /// forgets slots that no longer count, and lets means decay.
    pub fn advance(&mut self, now_ms: u64, oldest_slot: u64, tokens_per_ms: f64) {
        while let Some(&(slot, granted)) = self.slots.front()
            && slot < oldest_slot
        {
            self.slots.pop_front();
            self.granted -= granted;
        }
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
        self.expected = (self.expected - elapsed_ms * tokens_per_ms).max(0.0);
        let kept = (-elapsed_ms / PROGRAM_TIME_MS).exp();
        self.starts *= kept;
        self.turns *= kept;
    }

    /// puts back tokens that were not used.
    pub fn take_back(&mut self, unused: &AllotmentReturn) {
        let slot = unused.slot;
        let Some((_, granted)) = self.slots.iter_mut().find(|(known, _)| *known == slot) else {
            return;
        };
        let tokens = u64::from(unused.tokens).min(*granted);
        *granted -= tokens;
        self.granted -= tokens;
        let starts = u64::from(unused.starts.unwrap_or(0)).min(tokens);
        self.starts = (self.starts - starts as f64).max(0.0);
        // A program that has not begun sends nothing further; the mean is again the one that it was granted by.
        let expected = starts as f64 * self.requests_per_program();
        self.expected = (self.expected - expected).max(0.0);
        self.turns = (self.turns - (tokens - starts) as f64).max(0.0);
    }

    /// requests of a program, by the mean.
    fn requests_per_program(&self) -> f64 {
        1.0 + self.turns / (self.starts + ASSUMED_SHORT_PROGRAMS)
    }

    /// grants what there is out of `tokens`: first for programs under way, then for such that begin.
    pub fn grant(&mut self, slot: u64, tokens: u64, ask: &AllotmentAsk) -> (u32, u32) {
        let room = tokens.saturating_sub(self.granted);
        let turns = u64::from(ask.turns).min(room) as u32;
        let room = room - u64::from(turns);
        let per_program = self.requests_per_program();
        let capacity = (tokens as f64).max(per_program);
        let programs = ((capacity - self.expected) / per_program).max(0.0).floor() as u64;
        let starts = u64::from(ask.starts).min(room).min(programs) as u32;
        self.expected += f64::from(starts) * per_program;
        self.starts += f64::from(starts);
        self.turns += f64::from(turns);
        self.add(slot, u64::from(turns) + u64::from(starts));
        (starts, turns)
    }

    fn add(&mut self, slot: u64, tokens: u64) {
        if tokens == 0 {
            return;
        }
        self.granted += tokens;
        match self.slots.back_mut() {
            Some((last, granted)) if *last == slot => *granted += tokens,
            _ => self.slots.push_back((slot, tokens)),
        }
    }

    /// the slot that has to end its span before a token is there; `None` if no slot stands in the way.
    pub fn blocking_slot(&self, tokens: u64) -> Option<u64> {
        let mut left = self.granted;
        for &(slot, granted) in &self.slots {
            if left < tokens {
                return None;
            }
            left -= granted;
            if left < tokens {
                return Some(slot);
            }
        }
        None
    }

    /// time until another program may begin, by the mean.
    pub fn start_wait_ms(&self, tokens: u64, tokens_per_ms: f64) -> u64 {
        let per_program = self.requests_per_program();
        let capacity = (tokens as f64).max(per_program);
        let missing = (per_program + self.expected - capacity).max(0.0);
        (missing / tokens_per_ms.max(f64::MIN_POSITIVE)).ceil() as u64
    }
}

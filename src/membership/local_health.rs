/// highest score of an instance that doubts itself.
const MAX_SCORE: u32 = 4;
/// own probes whose outcome is kept.
const HISTORY_PROBES: u32 = 16;

/// how far this instance trusts its own probes, from their outcomes and its own pauses.
#[derive(Debug, Default)]
pub(super) struct LocalHealth {
    score: u32,
    /// one bit an outcome, the latest lowest; set for a failure.
    failures: u32,
    outcome_count: u32,
}

impl LocalHealth {
    /// takes note of a probe that was answered.
    pub fn answered(&mut self) {
        self.score = self.score.saturating_sub(1);
        self.push(0);
    }

    /// takes note of a probe that was not answered, directly or through others.
    pub fn unanswered(&mut self) {
        self.push(1);
    }

    /// takes note of a sign that this instance itself is slow.
    pub fn doubt(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// forgets the outcomes; those before a pause say nothing about the others.
    pub fn forget_outcomes(&mut self) {
        self.failures = 0;
        self.outcome_count = 0;
    }

    /// factor by which timeouts are stretched.
    pub fn stretch(&self) -> u64 {
        u64::from(1 + self.score)
    }

    /// tells whether most of the latest probes failed, so that this instance is more likely cut off than all others dead.
    pub fn is_cut_off(&self, peer_count: usize) -> bool {
        let window = (peer_count as u32).min(HISTORY_PROBES).min(self.outcome_count);
        let latest = self.failures & ((1 << window) - 1);
        latest.count_ones() * 2 > window
    }

    fn push(&mut self, bit: u32) {
        self.failures = (self.failures << 1 | bit) & ((1 << HISTORY_PROBES) - 1);
        self.outcome_count = (self.outcome_count + 1).min(HISTORY_PROBES);
    }
}

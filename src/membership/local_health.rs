/// maximum score; timeouts grow up to fivefold.
const MAX_SCORE: u32 = 4;
/// number of probe outcomes that are kept.
const HISTORY_PROBES: u32 = 16;

/// local health score, as in Lifeguard: an instance that is itself slow is slower to suspect others.
#[derive(Debug, Default)]
pub(super) struct LocalHealth {
    /// 0 when healthy.
    score: u32,
    /// one bit an outcome, the latest in the lowest bit; set for a failed probe.
    failures: u32,
    outcome_count: u32,
}

impl LocalHealth {
    /// records a probe that was acked.
    pub fn record_ack(&mut self) {
        self.score = self.score.saturating_sub(1);
        self.push(0);
    }

    /// records a probe that got no ack, neither directly nor through other members.
    pub fn record_failure(&mut self) {
        self.push(1);
    }

    /// records a sign that this instance itself is slow: a pause, or a suspicion that it had to refute.
    pub fn raise_score(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// clears the outcomes; those before a pause say nothing about the other members.
    pub fn clear_outcomes(&mut self) {
        self.failures = 0;
        self.outcome_count = 0;
    }

    /// factor on probe and suspicion timeouts.
    pub fn timeout_factor(&self) -> u64 {
        u64::from(1 + self.score)
    }

    /// whether most of the latest probes failed: then it is likelier that this instance is isolated than that
    /// all others are dead.
    pub fn is_isolated(&self, peer_count: usize) -> bool {
        let window = (peer_count as u32).min(HISTORY_PROBES).min(self.outcome_count);
        let latest = self.failures & ((1 << window) - 1);
        latest.count_ones() * 2 > window
    }

    fn push(&mut self, bit: u32) {
        self.failures = (self.failures << 1 | bit) & ((1 << HISTORY_PROBES) - 1);
        self.outcome_count = (self.outcome_count + 1).min(HISTORY_PROBES);
    }
}

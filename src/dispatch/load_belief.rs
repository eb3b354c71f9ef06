use std::collections::VecDeque;

use crate::schema::ReplicaLoad;

/// age at which a report says nothing any more.
const MAX_REPORT_AGE_MS: u64 = 5_000;

/// time that a choice may take to appear in a report.
const REPORT_DELAY_MS: u64 = 10;

/// speed of reading uncached prompt tokens before one was measured.
const ASSUMED_MS_PER_TOKEN: f64 = 0.1;

/// time between tokens before one was measured.
const ASSUMED_GAP_MS: f64 = 30.0;

/// share of its window that a replica without a current report is assumed to have in use.
const SILENT_LOAD: f64 = 0.5;

/// length that an answer is expected to have.
const EXPECTED_TOKENS: f64 = 200.0;

/// what a router believes of one replica's load: the last report and its own choices since.
#[derive(Clone, Debug)]
pub struct LoadBelief {
    report: ReplicaLoad,
    reported_ms: Option<u64>,
    recent: VecDeque<(u64, u64)>,
    recent_tokens: u64,
}

impl LoadBelief {
    /// nothing is known yet.
    pub fn new(replica: &str) -> Self {
        let report = ReplicaLoad {
            replica: replica.to_string(),
            running: 0,
            queued: 0,
            queued_tokens: 0,
            window: 0,
            age_ms: 0,
            wait_ms: 0,
            token_gap_ms: 0,
            uncached_per_second: 0,
        };
        Self { report, reported_ms: None, recent: VecDeque::new(), recent_tokens: 0 }
    }

    /// takes a report and forgets own choices that it must include.
    pub fn record(&mut self, now_ms: u64, report: ReplicaLoad) {
        let seen_ms = now_ms.saturating_sub(report.age_ms);
        if self.reported_ms.is_some_and(|reported_ms| reported_ms > seen_ms) {
            return;
        }
        self.reported_ms = Some(seen_ms);
        self.report = report;
        self.forget_before(seen_ms.saturating_sub(REPORT_DELAY_MS));
    }

    /// counts an own choice until a report includes it.
    pub fn chosen(&mut self, now_ms: u64, uncached_tokens: u64) {
        self.forget_before(now_ms.saturating_sub(MAX_REPORT_AGE_MS));
        self.recent.push_back((now_ms, uncached_tokens));
        self.recent_tokens += uncached_tokens;
    }

    /// reported time between tokens, zero when unknown or too old.
    pub fn gap_ms(&self, now_ms: u64) -> u64 {
        if self.is_current(now_ms) { self.report.token_gap_ms } else { 0 }
    }

    /// expected time until a turn that goes there now is answered.
    pub fn expected_ms(&self, now_ms: u64, uncached_tokens: u64) -> f64 {
        let per_token_ms = self.ms_per_token();
        let gap_ms =
            if self.report.token_gap_ms > 0 { self.report.token_gap_ms as f64 } else { ASSUMED_GAP_MS };
        let turn_ms = gap_ms * EXPECTED_TOKENS;
        let recent_tokens = if self.has_recent(now_ms) { self.recent_tokens } else { 0 };
        let read_ms = (uncached_tokens + recent_tokens) as f64 * per_token_ms;
        if !self.is_current(now_ms) {
            return read_ms + turn_ms + turn_ms * SILENT_LOAD;
        }
        read_ms + turn_ms + self.report.wait_ms as f64 + self.slot_wait_ms(turn_ms)
    }

    /// time that the engine needs to read one uncached prompt token.
    pub fn ms_per_token(&self) -> f64 {
        match self.report.uncached_per_second {
            0 => ASSUMED_MS_PER_TOKEN,
            speed => 1_000.0 / speed as f64,
        }
    }

    fn slot_wait_ms(&self, turn_ms: f64) -> f64 {
        let window = f64::from(self.report.window.max(1));
        let inside = f64::from(self.report.running) + self.recent.len() as f64;
        let excess = (inside - window + 1.0).max(0.0);
        let crowding_ms = inside / window * turn_ms;
        excess * turn_ms / window + crowding_ms
    }

    /// tells whether the own choices that no report includes are young enough to count.
    fn has_recent(&self, now_ms: u64) -> bool {
        self.recent
            .back()
            .is_some_and(|(chosen_ms, _)| now_ms.saturating_sub(*chosen_ms) <= MAX_REPORT_AGE_MS)
    }

    fn is_current(&self, now_ms: u64) -> bool {
        self.reported_ms.is_some_and(|reported_ms| now_ms.saturating_sub(reported_ms) <= MAX_REPORT_AGE_MS)
    }

    fn forget_before(&mut self, before_ms: u64) {
        while let Some((chosen_ms, tokens)) = self.recent.front().copied() {
            if chosen_ms >= before_ms {
                break;
            }
            self.recent.pop_front();
            self.recent_tokens -= tokens;
        }
    }
}

use std::collections::VecDeque;

use crate::schema::ReplicaLoad;

/// age at which a load report is stale and ignored.
const MAX_REPORT_AGE_MS: u64 = 5_000;

/// time that a choice may take to show up in a load report.
const REPORT_DELAY_MS: u64 = 10;

/// prefill time for each uncached prompt token until one was measured.
const ASSUMED_MS_PER_TOKEN: f64 = 0.1;

/// token gap until one was measured.
const ASSUMED_GAP_MS: f64 = 30.0;

/// assumed utilization of the window of a replica without a current report.
const ASSUMED_UTILIZATION: f64 = 0.5;

/// expected length of an answer, in tokens.
const EXPECTED_TOKENS: f64 = 200.0;

/// a router's estimate of one replica's load: the last report and its own choices since.
#[derive(Clone, Debug)]
pub struct LoadEstimate {
    report: ReplicaLoad,
    reported_ms: Option<u64>,
    unreported: VecDeque<(u64, u64)>,
    unreported_tokens: u64,
}

impl LoadEstimate {
    /// an estimate without a report.
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
        Self { report, reported_ms: None, unreported: VecDeque::new(), unreported_tokens: 0 }
    }

    /// records a report unless it is older than the last, and drops choices that it already includes.
    pub fn record(&mut self, now_ms: u64, report: ReplicaLoad) {
        let seen_ms = now_ms.saturating_sub(report.age_ms);
        if self.reported_ms.is_some_and(|reported_ms| reported_ms > seen_ms) {
            return;
        }
        self.reported_ms = Some(seen_ms);
        self.report = report;
        self.drop_choices_before(seen_ms.saturating_sub(REPORT_DELAY_MS));
    }

    /// counts a choice of this router until a report includes it.
    pub fn record_choice(&mut self, now_ms: u64, uncached_tokens: u64) {
        self.drop_choices_before(now_ms.saturating_sub(MAX_REPORT_AGE_MS));
        self.unreported.push_back((now_ms, uncached_tokens));
        self.unreported_tokens += uncached_tokens;
    }

    /// reported token gap, zero if unknown or stale.
    pub fn gap_ms(&self, now_ms: u64) -> u64 {
        if self.is_current(now_ms) { self.report.token_gap_ms } else { 0 }
    }

    /// expected time to complete a turn that is sent there now.
    pub fn expected_ms(&self, now_ms: u64, uncached_tokens: u64) -> f64 {
        let per_token_ms = self.ms_per_token();
        let gap_ms =
            if self.report.token_gap_ms > 0 { self.report.token_gap_ms as f64 } else { ASSUMED_GAP_MS };
        let turn_ms = gap_ms * EXPECTED_TOKENS;
        let unreported_tokens = if self.counts_unreported(now_ms) { self.unreported_tokens } else { 0 };
        let prefill_ms = (uncached_tokens + unreported_tokens) as f64 * per_token_ms;
        if !self.is_current(now_ms) {
            return prefill_ms + turn_ms + turn_ms * ASSUMED_UTILIZATION;
        }
        prefill_ms + turn_ms + self.report.wait_ms as f64 + self.window_wait_ms(turn_ms)
    }

    /// prefill time for each uncached prompt token.
    pub fn ms_per_token(&self) -> f64 {
        match self.report.uncached_per_second {
            0 => ASSUMED_MS_PER_TOKEN,
            tokens_per_second => 1_000.0 / tokens_per_second as f64,
        }
    }

    fn window_wait_ms(&self, turn_ms: f64) -> f64 {
        let window = f64::from(self.report.window.max(1));
        let in_flight = f64::from(self.report.running) + self.unreported.len() as f64;
        let excess = (in_flight - window + 1.0).max(0.0);
        let contention_ms = in_flight / window * turn_ms;
        excess * turn_ms / window + contention_ms
    }

    /// whether the latest choice that no report includes is recent enough to count them.
    fn counts_unreported(&self, now_ms: u64) -> bool {
        self.unreported
            .back()
            .is_some_and(|(chosen_ms, _)| now_ms.saturating_sub(*chosen_ms) <= MAX_REPORT_AGE_MS)
    }

    fn is_current(&self, now_ms: u64) -> bool {
        self.reported_ms.is_some_and(|reported_ms| now_ms.saturating_sub(reported_ms) <= MAX_REPORT_AGE_MS)
    }

    fn drop_choices_before(&mut self, before_ms: u64) {
        while let Some((chosen_ms, tokens)) = self.unreported.front().copied() {
            if chosen_ms >= before_ms {
                break;
            }
            self.unreported.pop_front();
            self.unreported_tokens -= tokens;
        }
    }
}

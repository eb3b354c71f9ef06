use crate::schema::DispatchSettings;

/// floor of the request limit.
const MIN_WINDOW: f64 = 4.0;

/// floor of the prefill limit.
const MIN_PREFILL_TOKENS: f64 = 4_096.0;

/// initial prefill limit: uncached prompt tokens in prefill at once.
const INITIAL_PREFILL_TOKENS: f64 = 16_384.0;

/// ceiling of the prefill limit.
const MAX_PREFILL_TOKENS: f64 = 131_072.0;

/// interval between two adjustments of the limits.
const ADAPT_MS: u64 = 250;

/// weight of a new sample in the exponential moving averages.
const SMOOTHING: f64 = 0.1;

/// share of the token gap target above which the request limit shrinks.
const GAP_HIGH: f64 = 0.9;

/// share of the token gap target below which the request limit may grow.
const GAP_LOW: f64 = 0.75;

/// share of the first-token target that may pass inside the engine; above it the prefill limit shrinks.
const FIRST_TOKEN_HIGH: f64 = 0.5;

/// adaptive concurrency limits of one replica, driven by measured latency.
///
/// The request limit follows the token gap, the limit on uncached prompt tokens in prefill follows the time
/// to the first token. Both have a floor, so that a replica never starves.
#[derive(Debug)]
pub struct Window {
    limit: f64,
    max_limit: f64,
    prefill_limit_tokens: f64,
    gap_target_ms: f64,
    first_token_target_ms: f64,
    gap_ms: f64,
    first_token_ms: f64,
    requests_limited: bool,
    prefill_limited: bool,
    engine_queues: bool,
    next_change_ms: u64,
}

impl Window {
    /// starts with the limits from the settings.
    pub fn new(settings: &DispatchSettings) -> Self {
        let max_limit = f64::from(settings.max_window).max(MIN_WINDOW);
        Self {
            limit: f64::from(settings.initial_window).clamp(MIN_WINDOW, max_limit),
            max_limit,
            prefill_limit_tokens: INITIAL_PREFILL_TOKENS,
            gap_target_ms: settings.token_gap_target_ms as f64,
            first_token_target_ms: settings.first_token_target_ms as f64,
            gap_ms: 0.0,
            first_token_ms: 0.0,
            requests_limited: false,
            prefill_limited: false,
            engine_queues: false,
            next_change_ms: 0,
        }
    }

    /// requests that may be in flight at once.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// average token gap, zero before the first sample.
    pub fn gap_ms(&self) -> f64 {
        self.gap_ms
    }

    /// whether one more turn may start; records the limit that refused it, as only a limit in use grows.
    pub fn admits(&mut self, running: u32, prefill_tokens: u64, uncached_tokens: u64) -> bool {
        if running >= self.limit() {
            self.requests_limited = true;
            return false;
        }
        let after_tokens = (prefill_tokens + uncached_tokens) as f64;
        if prefill_tokens > 0 && after_tokens > self.prefill_limit_tokens {
            self.prefill_limited = true;
            return false;
        }
        true
    }

    /// records the time between two tokens of a turn.
    pub fn record_gap(&mut self, gap_ms: u64) {
        update_average(&mut self.gap_ms, gap_ms as f64);
    }

    /// records the time from sending a turn to the engine until its first token.
    pub fn record_first_token(&mut self, first_token_ms: u64) {
        update_average(&mut self.first_token_ms, first_token_ms as f64);
    }

    /// records the number of requests queued inside the engine; while there are any, the request limit
    /// doesn't grow.
    pub fn record_engine_waiting(&mut self, waiting: u32) {
        self.engine_queues = waiting > 0;
    }

    /// halves the request limit at once, after the engine failed or was overloaded.
    pub fn halve(&mut self) {
        self.limit = (self.limit / 2.0).max(MIN_WINDOW);
    }

    /// adjusts the limits if `ADAPT_MS` has passed since the last time.
    pub fn adapt(&mut self, now_ms: u64) {
        if now_ms < self.next_change_ms {
            return;
        }
        self.next_change_ms = now_ms + ADAPT_MS;
        self.adapt_requests();
        self.adapt_prefill();
        self.requests_limited = false;
        self.prefill_limited = false;
    }

    fn adapt_requests(&mut self) {
        if self.gap_ms > self.gap_target_ms * GAP_HIGH {
            self.limit = (self.limit * 0.95).max(MIN_WINDOW);
            return;
        }
        let grows =
            self.requests_limited && !self.engine_queues && self.gap_ms < self.gap_target_ms * GAP_LOW;
        if grows {
            self.limit = (self.limit + (self.limit / 16.0).max(1.0)).min(self.max_limit);
        }
    }

    fn adapt_prefill(&mut self) {
        if self.first_token_ms > self.first_token_target_ms * FIRST_TOKEN_HIGH {
            self.prefill_limit_tokens = (self.prefill_limit_tokens * 0.9).max(MIN_PREFILL_TOKENS);
            return;
        }
        if self.prefill_limited {
            self.prefill_limit_tokens = (self.prefill_limit_tokens + 1_024.0).min(MAX_PREFILL_TOKENS);
        }
    }
}

fn update_average(average: &mut f64, sample: f64) {
    if *average == 0.0 {
        *average = sample;
        return;
    }
    *average += SMOOTHING * (sample - *average);
}

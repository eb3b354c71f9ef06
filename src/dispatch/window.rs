use crate::schema::DispatchSettings;

/// least requests that a window lets inside a replica.
const MIN_WINDOW: f64 = 4.0;

/// least uncached prompt tokens that may be read inside a replica at once.
const MIN_PREFILL_TOKENS: f64 = 4_096.0;

/// uncached prompt tokens inside a replica at the start.
const INITIAL_PREFILL_TOKENS: f64 = 16_384.0;

/// most uncached prompt tokens inside a replica.
const MAX_PREFILL_TOKENS: f64 = 131_072.0;

/// time between two changes of a window.
const ADAPT_MS: u64 = 250;

/// weight of a new sample in the moving averages.
const SMOOTHING: f64 = 0.1;

/// share of the gap target above which the window shrinks.
const GAP_HIGH: f64 = 0.9;

/// share of the gap target below which the window grows.
const GAP_LOW: f64 = 0.75;

/// share of the first-token target that may pass inside the engine.
const FIRST_TOKEN_HIGH: f64 = 0.5;

/// how much work may be inside one replica, adapted to measured latency.
///
/// The number of requests follows the time between tokens, the uncached prompt tokens follow the
/// time to the first token. Both have a floor, so that a replica never starves.
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
    engine_waits: bool,
    next_change_ms: u64,
}

impl Window {
    /// starts with the sizes from the settings.
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
            engine_waits: false,
            next_change_ms: 0,
        }
    }

    /// requests that may be inside.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// measured time between tokens, zero before the first sample.
    pub fn gap_ms(&self) -> f64 {
        self.gap_ms
    }

    /// tells whether one more turn may enter, and remembers what kept it out.
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

    /// takes a measured time between two tokens.
    pub fn record_gap(&mut self, gap_ms: u64) {
        smooth(&mut self.gap_ms, gap_ms as f64);
    }

    /// takes a measured time from the start inside the engine to the first token.
    pub fn record_first_token(&mut self, first_token_ms: u64) {
        smooth(&mut self.first_token_ms, first_token_ms as f64);
    }

    /// takes the engine's own count of requests that wait inside it.
    pub fn record_engine_waiting(&mut self, waiting: u32) {
        self.engine_waits = waiting > 0;
    }

    /// shrinks at once after the engine failed.
    pub fn collapse(&mut self) {
        self.limit = (self.limit / 2.0).max(MIN_WINDOW);
    }

    /// changes the sizes when it is time.
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
        let grows = self.requests_limited && !self.engine_waits && self.gap_ms < self.gap_target_ms * GAP_LOW;
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

fn smooth(average: &mut f64, sample: f64) {
    if *average == 0.0 {
        *average = sample;
        return;
    }
    *average += SMOOTHING * (sample - *average);
}

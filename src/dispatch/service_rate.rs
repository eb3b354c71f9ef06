/// length of one sample.
const SAMPLE_MS: u64 = 2_000;

/// weight of a new sample.
const SMOOTHING: f64 = 0.2;

/// least time that a turn is expected to run for each generated token.
const ASSUMED_GAP_MS: u64 = 20;

/// uncached prompt tokens that an engine is assumed to read in one millisecond.
const ASSUMED_UNCACHED_PER_MS: f64 = 10.0;

/// shorter reads say nothing about the speed.
const MIN_READ_TOKENS: u64 = 512;

/// the cost that a replica works off in a millisecond, measured while turns wait.
#[derive(Debug, Default)]
pub struct ServiceRate {
    tokens_per_ms: f64,
    uncached_per_ms: f64,
    sample_start_ms: u64,
    sample_tokens: u64,
    saturated: bool,
}

impl ServiceRate {
    /// counts work as the engine does it; the end of a long turn would tell too late and in lumps.
    pub fn progress(&mut self, cost_tokens: u64) {
        self.sample_tokens += cost_tokens;
    }

    /// closes a sample when it is long enough; only saturated ones count.
    pub fn tick(&mut self, now_ms: u64, queue_waits: bool) {
        self.saturated &= queue_waits;
        let elapsed_ms = now_ms.saturating_sub(self.sample_start_ms);
        if elapsed_ms < SAMPLE_MS {
            return;
        }
        if self.saturated && self.sample_tokens > 0 {
            self.take_sample(self.sample_tokens as f64 / elapsed_ms as f64);
        }
        self.sample_start_ms = now_ms;
        self.sample_tokens = 0;
        self.saturated = queue_waits;
    }

    /// time in which `cost_tokens` are worked off; zero while the rate is unknown.
    pub fn wait_ms(&self, cost_tokens: u64) -> u64 {
        if self.tokens_per_ms <= 0.0 {
            return 0;
        }
        (cost_tokens as f64 / self.tokens_per_ms) as u64
    }

    /// least time that a turn takes once it has started.
    pub fn run_ms(&self, uncached_tokens: u64, generated_tokens: u64) -> u64 {
        let uncached_per_ms =
            if self.uncached_per_ms > 0.0 { self.uncached_per_ms } else { ASSUMED_UNCACHED_PER_MS };
        (uncached_tokens as f64 / uncached_per_ms) as u64 + generated_tokens * ASSUMED_GAP_MS
    }

    /// takes the time to a first token, with what the engine had to read until then.
    pub fn first_token(&mut self, uncached_tokens: u64, first_token_ms: u64) {
        if uncached_tokens < MIN_READ_TOKENS || first_token_ms == 0 {
            return;
        }
        let sample = uncached_tokens as f64 / first_token_ms as f64;
        if self.uncached_per_ms <= 0.0 {
            self.uncached_per_ms = sample;
            return;
        }
        self.uncached_per_ms += SMOOTHING * (sample - self.uncached_per_ms);
    }

    /// measured speed of reading uncached prompt tokens, zero while unknown.
    pub fn uncached_per_second(&self) -> u64 {
        (self.uncached_per_ms * 1_000.0) as u64
    }

    fn take_sample(&mut self, tokens_per_ms: f64) {
        if self.tokens_per_ms <= 0.0 {
            self.tokens_per_ms = tokens_per_ms;
            return;
        }
        self.tokens_per_ms += SMOOTHING * (tokens_per_ms - self.tokens_per_ms);
    }
}

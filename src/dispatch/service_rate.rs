/// shortest sample of the service rate.
const SAMPLE_MS: u64 = 2_000;

/// weight of a new sample in the exponential moving averages.
const SMOOTHING: f64 = 0.2;

/// assumed lower bound of the time for each generated token.
const ASSUMED_GAP_MS: u64 = 20;

/// assumed prefill speed until one was measured.
const ASSUMED_PREFILL_PER_MS: f64 = 10.0;

/// shorter prefills are too noisy to estimate the speed.
const MIN_PREFILL_TOKENS: u64 = 512;

/// service rate of a replica in cost tokens per millisecond, measured while turns are queued.
#[derive(Debug, Default)]
pub struct ServiceRate {
    tokens_per_ms: f64,
    prefill_per_ms: f64,
    sample_start_ms: u64,
    sample_tokens: u64,
    saturated: bool,
}

impl ServiceRate {
    /// counts work while the engine does it; counting at the end of long turns would be late and bursty.
    pub fn record_work(&mut self, cost_tokens: u64) {
        self.sample_tokens += cost_tokens;
    }

    /// closes a sample that is long enough; only samples with a queue throughout count.
    pub fn tick(&mut self, now_ms: u64, has_queue: bool) {
        self.saturated &= has_queue;
        let elapsed_ms = now_ms.saturating_sub(self.sample_start_ms);
        if elapsed_ms < SAMPLE_MS {
            return;
        }
        if self.saturated && self.sample_tokens > 0 {
            self.add_sample(self.sample_tokens as f64 / elapsed_ms as f64);
        }
        self.sample_start_ms = now_ms;
        self.sample_tokens = 0;
        self.saturated = has_queue;
    }

    /// time to serve `cost_tokens`; zero while the rate is unknown.
    pub fn wait_ms(&self, cost_tokens: u64) -> u64 {
        if self.tokens_per_ms <= 0.0 {
            return 0;
        }
        (cost_tokens as f64 / self.tokens_per_ms) as u64
    }

    /// expected minimum run time of a turn after it starts.
    pub fn min_run_ms(&self, uncached_tokens: u64, generated_tokens: u64) -> u64 {
        let prefill_per_ms =
            if self.prefill_per_ms > 0.0 { self.prefill_per_ms } else { ASSUMED_PREFILL_PER_MS };
        (uncached_tokens as f64 / prefill_per_ms) as u64 + generated_tokens * ASSUMED_GAP_MS
    }

    /// records the time to a first token and the uncached prompt tokens in prefill at its start.
    pub fn record_first_token(&mut self, uncached_tokens: u64, first_token_ms: u64) {
        if uncached_tokens < MIN_PREFILL_TOKENS || first_token_ms == 0 {
            return;
        }
        let sample = uncached_tokens as f64 / first_token_ms as f64;
        if self.prefill_per_ms <= 0.0 {
            self.prefill_per_ms = sample;
            return;
        }
        self.prefill_per_ms += SMOOTHING * (sample - self.prefill_per_ms);
    }

    /// measured prefill speed, zero while unknown.
    pub fn uncached_per_second(&self) -> u64 {
        (self.prefill_per_ms * 1_000.0) as u64
    }

    fn add_sample(&mut self, tokens_per_ms: f64) {
        if self.tokens_per_ms <= 0.0 {
            self.tokens_per_ms = tokens_per_ms;
            return;
        }
        self.tokens_per_ms += SMOOTHING * (tokens_per_ms - self.tokens_per_ms);
    }
}

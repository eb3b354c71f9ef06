use xxhash_rust::xxh3::xxh3_64_with_seed;

/// most doublings of the first delay.
const MAX_DOUBLINGS: u32 = 32;

/// exponential delays with jitter; the seed decides the jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first_ms: u64,
    longest_ms: u64,
    seed: u64,
    failures: u32,
}

impl Backoff {
    /// starts at `first_ms` and doubles up to `longest_ms`.
    pub fn new(first_ms: u64, longest_ms: u64, seed: u64) -> Self {
        Self { first_ms: first_ms.max(1), longest_ms: longest_ms.max(1), seed, failures: 0 }
    }

    /// the next delay, between half and all of the doubled one.
    pub fn next_ms(&mut self) -> u64 {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let ceiling = self.first_ms.saturating_mul(1 << doublings).min(self.longest_ms).max(1);
        let drawn = xxh3_64_with_seed(&self.failures.to_le_bytes(), self.seed);
        self.failures = self.failures.saturating_add(1);
        let floor = ceiling.div_ceil(2);
        floor + drawn % (ceiling - floor + 1)
    }

    /// failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// a call succeeded; the next delay is a first one again.
    pub fn reset(&mut self) {
        // Another seed keeps instances that failed together from drawing the same delays again.
        self.seed = self.seed.wrapping_add(u64::from(self.failures));
        self.failures = 0;
    }
}

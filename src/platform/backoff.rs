use xxhash_rust::xxh3::xxh3_64_with_seed;

/// limit of doublings, which keeps the shift in `next_ms` within 64 bits.
const MAX_DOUBLINGS: u32 = 32;

/// exponential backoff with jitter, which is derived from a seed.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial_ms: u64,
    max_ms: u64,
    seed: u64,
    failures: u32,
}

impl Backoff {
    /// starts at `initial_ms`, doubles after each failure and is capped at `max_ms`.
    pub fn new(initial_ms: u64, max_ms: u64, seed: u64) -> Self {
        Self { initial_ms: initial_ms.max(1), max_ms: max_ms.max(1), seed, failures: 0 }
    }

    /// counts a failure and returns the delay after it, between half of the exponential delay and all of it.
    pub fn next_ms(&mut self) -> u64 {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let max_delay_ms = self.initial_ms.saturating_mul(1 << doublings).min(self.max_ms).max(1);
        let random = xxh3_64_with_seed(&self.failures.to_le_bytes(), self.seed);
        self.failures = self.failures.saturating_add(1);
        let min_delay_ms = max_delay_ms.div_ceil(2);
        min_delay_ms + random % (max_delay_ms - min_delay_ms + 1)
    }

    /// failures since the last reset.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// called after a success; the next delay starts from `initial_ms` again.
    pub fn reset(&mut self) {
        // A new seed keeps instances that failed together from repeating the same sequence of delays.
        self.seed = self.seed.wrapping_add(u64::from(self.failures));
        self.failures = 0;
    }
}

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// a repeatable sequence of numbers for fault scripts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seeded {
    seed: u64,
    drawn_count: u64,
}

impl Seeded {
    /// starts the sequence of `seed`.
    pub fn new(seed: u64) -> Self {
        Self { seed, drawn_count: 0 }
    }

    /// draws the next number.
    pub fn next_u64(&mut self) -> u64 {
        self.drawn_count += 1;
        xxh3_64_with_seed(&self.drawn_count.to_le_bytes(), self.seed)
    }

    /// draws true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        let unit = (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        unit < probability
    }
}

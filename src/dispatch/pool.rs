use crate::dispatch::ReplicaKey;

/// pools up to this size are scanned in full; latency outliers are judged against at most this many members.
const FULL_SCAN_SIZE: usize = 16;

/// random candidates from this router's zone, and again as many from all zones.
const SAMPLE_SIZE: usize = 4;

/// the replicas of one model that accept new work.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// replicas in this router's zone.
    pub same_zone: Vec<ReplicaKey>,
    /// replicas in all zones.
    pub all: Vec<ReplicaKey>,
    /// how many are ejected or being probed.
    pub unhealthy_count: usize,
}

impl Pool {
    /// adds candidates: a small pool in full, rotated to a random start, or random samples of a large one.
    ///
    /// The first of equal candidates wins, so a fixed order would send all routers to the same replica.
    pub fn sample_candidates(&self, random: &mut SplitMix, candidates: &mut Vec<ReplicaKey>) {
        if self.all.is_empty() {
            return;
        }
        if self.all.len() <= FULL_SCAN_SIZE {
            let first = random.next_below(self.all.len());
            candidates.extend_from_slice(&self.all[first..]);
            candidates.extend_from_slice(&self.all[..first]);
            return;
        }
        for members in [&self.same_zone, &self.all] {
            if members.is_empty() {
                continue;
            }
            for _ in 0..SAMPLE_SIZE {
                candidates.push(members[random.next_below(members.len())]);
            }
        }
    }

    /// at most `FULL_SCAN_SIZE` members, spaced evenly over the pool.
    pub fn evenly_spaced(&self) -> impl Iterator<Item = &ReplicaKey> {
        let step = self.all.len().div_ceil(FULL_SCAN_SIZE).max(1);
        self.all.iter().step_by(step)
    }
}

/// SplitMix64 pseudo-random number generator, seeded by its caller.
#[derive(Clone, Debug)]
pub struct SplitMix {
    state: u64,
}

impl SplitMix {
    /// a generator with the given seed.
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// the next number below `bound`.
    pub fn next_below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    /// the next number in `[0, 1)`.
    pub fn next_f64(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}

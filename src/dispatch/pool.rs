use crate::dispatch::ReplicaKey;

/// pools up to this size are looked at whole.
const WHOLE_POOL: usize = 16;

/// replicas that are drawn from the own zone, and again from all zones.
const DRAWS: usize = 4;

/// the replicas of one model that take work.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// in the own zone.
    pub near: Vec<ReplicaKey>,
    /// in all zones.
    pub all: Vec<ReplicaKey>,
    /// how many are ejected or on probation.
    pub out_count: usize,
}

impl Pool {
    /// adds a few replicas to look at: all of a small pool from a random one on, else random draws.
    ///
    /// The first of equals is chosen, so a fixed order would send all routers to the same one.
    pub fn draw(&self, random: &mut SplitMix, candidates: &mut Vec<ReplicaKey>) {
        if self.all.is_empty() {
            return;
        }
        if self.all.len() <= WHOLE_POOL {
            let first = random.next_below(self.all.len());
            candidates.extend_from_slice(&self.all[first..]);
            candidates.extend_from_slice(&self.all[..first]);
            return;
        }
        for members in [&self.near, &self.all] {
            if members.is_empty() {
                continue;
            }
            for _ in 0..DRAWS {
                candidates.push(members[random.next_below(members.len())]);
            }
        }
    }

    /// a few members spread evenly over the pool.
    pub fn sample(&self) -> impl Iterator<Item = &ReplicaKey> {
        let step = self.all.len().div_ceil(WHOLE_POOL).max(1);
        self.all.iter().step_by(step)
    }
}

/// a small generator of pseudo-random numbers, seeded by its caller.
#[derive(Clone, Debug)]
pub struct SplitMix {
    state: u64,
}

impl SplitMix {
    /// starts from a seed.
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// the next number below `bound`.
    pub fn next_below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    /// the next number from zero up to one.
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

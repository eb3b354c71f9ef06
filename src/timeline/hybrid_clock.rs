use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// low bits of a stamp, which count events within a millisecond.
const COUNTER_BITS: u32 = 16;

/// a hybrid logical clock: its stamps follow the wall clock and exceed all stamps issued or observed before.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

impl HybridClock {
    /// a new stamp for an event at `unix_ms` by the local clock.
    pub fn stamp(&self, unix_ms: u64) -> u64 {
        let wall = unix_ms << COUNTER_BITS;
        let next = |last: u64| Some(wall.max(last + 1));
        // The update cannot fail, since the closure always returns a value.
        let previous = self.last.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).unwrap_or(0);
        wall.max(previous + 1)
    }

    /// advances the clock past a stamp of another process.
    pub fn observe(&self, stamp: u64) {
        self.last.fetch_max(stamp, Ordering::Relaxed);
    }

    /// wall time of a stamp, in milliseconds since the Unix epoch.
    pub fn unix_ms(stamp: u64) -> u64 {
        stamp >> COUNTER_BITS
    }
}

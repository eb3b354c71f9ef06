use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// bits of a stamp that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// a hybrid logical clock: wall time that never runs back and passes every stamp it has seen.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

impl HybridClock {
    /// stamps an event that happens at `unix_ms` by the local clock.
    pub fn stamp(&self, unix_ms: u64) -> u64 {
        let wall = unix_ms << COUNTER_BITS;
        let next = |last: u64| Some(wall.max(last + 1));
        // The closure always returns a value.
        let previous = self.last.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).unwrap_or(0);
        wall.max(previous + 1)
    }

    /// takes note of a stamp of another process; later local stamps are greater.
    pub fn observe(&self, stamp: u64) {
        self.last.fetch_max(stamp, Ordering::Relaxed);
    }

    /// the wall time part of a stamp.
    pub fn unix_ms(stamp: u64) -> u64 {
        stamp >> COUNTER_BITS
    }
}

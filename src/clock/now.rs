use std::time::Instant;
use std::time::SystemTime;

/// one moment by both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// milliseconds of the monotonic clock, from an arbitrary start.
    pub ms: u64,
    /// milliseconds of the wall clock since the Unix epoch.
    pub unix_ms: u64,
}

impl Now {
    /// reads both clocks; only the edges of a process call this.
    pub fn read(start: Instant) -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            ms: start.elapsed().as_millis() as u64,
            unix_ms: unix.map_or(0, |elapsed| elapsed.as_millis() as u64),
        }
    }
}

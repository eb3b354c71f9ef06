use std::time::Instant;
use std::time::SystemTime;

/// a point in time on the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// milliseconds on the monotonic clock since an arbitrary origin.
    pub ms: u64,
    /// milliseconds on the wall clock since the Unix epoch.
    pub unix_ms: u64,
}

impl Now {
    /// reads both clocks, the monotonic one relative to `start`; called by I/O code, never by core logic.
    pub fn read(start: Instant) -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            ms: start.elapsed().as_millis() as u64,
            unix_ms: unix.map_or(0, |elapsed| elapsed.as_millis() as u64),
        }
    }
}

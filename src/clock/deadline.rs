use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// a point in time on the monotonic clock, which stops while the machine is suspended, and on the boot-time
/// clock, which does not.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// time on `CLOCK_MONOTONIC`.
    pub monotonic: Instant,
    /// time since the machine booted on `CLOCK_BOOTTIME`, suspensions included.
    pub since_boot: Duration,
}

impl Moment {
    /// reads both clocks; called by I/O code, never by core logic.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        Self { monotonic: Instant::now(), since_boot: Duration::new(seconds, nanoseconds) }
    }
}

/// deadline of a request. Time in which this machine was suspended counts, as the caller waited through it.
#[derive(Clone, Copy, Debug)]
pub struct Deadline {
    received_at: Moment,
    timeout: Duration,
}

impl Deadline {
    /// a deadline `timeout` after the request was received.
    pub fn new(received_at: Moment, timeout: Duration) -> Self {
        Self { received_at, timeout }
    }

    /// time left at `now`; zero once the deadline has passed.
    pub fn remaining(&self, now: &Moment) -> Duration {
        let monotonic = now.monotonic.saturating_duration_since(self.received_at.monotonic);
        let since_boot = now.since_boot.saturating_sub(self.received_at.since_boot);
        self.timeout.saturating_sub(monotonic.max(since_boot))
    }
}

use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// one moment by the steady clock, which stands still while the machine is suspended, and by the one that goes on.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// the steady clock.
    pub monotonic: Instant,
    /// time since the machine was started, suspensions included.
    pub since_boot: Duration,
}

impl Moment {
    /// reads both clocks; only the edges of a process call this.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        Self { monotonic: Instant::now(), since_boot: Duration::new(seconds, nanoseconds) }
    }
}

/// when the time of a request is over, also by the clock of a caller who waited while this machine was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Deadline {
    received: Moment,
    wait: Duration,
}

impl Deadline {
    /// the time is over `wait` after a request was received.
    pub fn new(received: Moment, wait: Duration) -> Self {
        Self { received, wait }
    }

    /// the time that is left at a moment.
    pub fn remaining(&self, now: &Moment) -> Duration {
        let steady = now.monotonic.saturating_duration_since(self.received.monotonic);
        let since_boot = now.since_boot.saturating_sub(self.received.since_boot);
        self.wait.saturating_sub(steady.max(since_boot))
    }
}

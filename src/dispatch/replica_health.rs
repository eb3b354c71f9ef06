/// consecutive failures that eject a replica.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// duration of the first ejection; backoff_ms with each further one.
const BASE_EJECTION_MS: u64 = 2_000;

/// longest ejection.
const MAX_EJECTION_MS: u64 = 60_000;

/// time after which a probe without a result is given up, so that another may be sent.
const PROBE_TIMEOUT_MS: u64 = 30_000;

/// state of the circuit breaker: closed, open, half-open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthState {
    Serving,
    Ejected { until_ms: u64 },
    Probing { since_ms: u64 },
}

/// outlier detection and ejection for one replica, as seen by one router.
#[derive(Clone, Debug)]
pub struct ReplicaHealth {
    state: HealthState,
    consecutive_failures: u32,
    ejections: u32,
}

impl ReplicaHealth {
    /// a replica without failures.
    pub fn new() -> Self {
        Self { state: HealthState::Serving, consecutive_failures: 0, ejections: 0 }
    }

    /// whether the replica is ejected or being probed.
    pub fn is_unhealthy(&self) -> bool {
        self.state != HealthState::Serving
    }

    /// whether a turn may be sent there: always when serving, otherwise one probe at a time.
    pub fn admits(&self, now_ms: u64) -> bool {
        match self.state {
            HealthState::Serving => true,
            HealthState::Ejected { until_ms } => now_ms >= until_ms,
            HealthState::Probing { since_ms } => now_ms >= since_ms + PROBE_TIMEOUT_MS,
        }
    }

    /// records that a turn was routed there; it is the probe of an ejected replica.
    pub fn record_choice(&mut self, now_ms: u64) {
        if self.is_unhealthy() {
            self.state = HealthState::Probing { since_ms: now_ms };
        }
    }

    /// counts a failure; returns whether the replica should be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.is_unhealthy() || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// ejects the replica, with exponential backoff.
    pub fn eject(&mut self, now_ms: u64) {
        let backoff_ms = BASE_EJECTION_MS << self.ejections.min(5);
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.state = HealthState::Ejected { until_ms: now_ms + backoff_ms.min(MAX_EJECTION_MS) };
    }

    /// counts a success; returns whether it ended an ejection.
    pub fn record_success(&mut self) -> bool {
        self.consecutive_failures = 0;
        match self.state {
            HealthState::Serving => {
                self.ejections = 0;
                false
            }
            HealthState::Ejected { .. } => false,
            HealthState::Probing { .. } => {
                self.state = HealthState::Serving;
                true
            }
        }
    }
}

impl Default for ReplicaHealth {
    fn default() -> Self {
        Self::new()
    }
}

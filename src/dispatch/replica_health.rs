/// failures in a row that eject a replica.
const MAX_FAILURES_IN_A_ROW: u32 = 3;

/// first time outside; doubled with each further ejection.
const BASE_EJECTION_MS: u64 = 2_000;

/// longest time outside.
const MAX_EJECTION_MS: u64 = 60_000;

/// time after which a probe counts as lost.
const PROBE_TIMEOUT_MS: u64 = 30_000;

/// whether a replica gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthState {
    Serving,
    Ejected { until_ms: u64 },
    Probing { since_ms: u64 },
}

/// outlier detection for one replica, as one router sees it.
#[derive(Clone, Debug)]
pub struct ReplicaHealth {
    state: HealthState,
    failures_in_a_row: u32,
    ejections: u32,
}

impl ReplicaHealth {
    /// a replica that nothing is known against.
    pub fn new() -> Self {
        Self { state: HealthState::Serving, failures_in_a_row: 0, ejections: 0 }
    }

    /// tells whether the replica is ejected or on probation.
    pub fn is_out(&self) -> bool {
        self.state != HealthState::Serving
    }

    /// tells whether a turn may go there: always when serving, else one probe at a time.
    pub fn admits(&self, now_ms: u64) -> bool {
        match self.state {
            HealthState::Serving => true,
            HealthState::Ejected { until_ms } => now_ms >= until_ms,
            HealthState::Probing { since_ms } => now_ms >= since_ms + PROBE_TIMEOUT_MS,
        }
    }

    /// notes that a turn goes there.
    pub fn chosen(&mut self, now_ms: u64) {
        if self.is_out() {
            self.state = HealthState::Probing { since_ms: now_ms };
        }
    }

    /// counts a failure; returns whether the replica should be ejected.
    pub fn failed(&mut self) -> bool {
        self.failures_in_a_row += 1;
        self.is_out() || self.failures_in_a_row >= MAX_FAILURES_IN_A_ROW
    }

    /// puts the replica outside.
    pub fn eject(&mut self, now_ms: u64) {
        let doubled = BASE_EJECTION_MS << self.ejections.min(5);
        self.ejections += 1;
        self.failures_in_a_row = 0;
        self.state = HealthState::Ejected { until_ms: now_ms + doubled.min(MAX_EJECTION_MS) };
    }

    /// counts a success; returns whether the replica came back by it.
    pub fn succeeded(&mut self) -> bool {
        self.failures_in_a_row = 0;
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

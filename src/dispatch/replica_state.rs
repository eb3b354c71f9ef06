use slotmap::new_key_type;

use crate::dispatch::LoadEstimate;
use crate::dispatch::Replica;
use crate::dispatch::ReplicaHealth;

/// slow start: a replica that joined or recovered gets a growing share of its traffic for this long.
const WARM_UP_MS: u64 = 20_000;

/// share of its traffic that a replica gets at the start of the warm-up.
const WARM_UP_SHARE: f64 = 0.1;

/// how long a replica's own report that it is leaving overrides the platform's list, which lags.
const LEAVING_REPORT_TTL_MS: u64 = 60_000;

new_key_type! {
    /// key of a replica, valid inside one router only.
    pub struct ReplicaKey;
}

/// a router's view of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// its entry in the platform's list.
    pub replica: Replica,
    /// its last load report and this router's choices since.
    pub load: LoadEstimate,
    /// outlier detection: consecutive failures, and latency against its pool.
    pub health: ReplicaHealth,
    /// position in the order in which its pool reserves replicas for light workspaces.
    pub reserve_rank: usize,
    /// prompt tokens of this router's live programs whose last turn ran there.
    pub resident_tokens: u64,
    /// when cache events from it were last lost.
    pub events_lost_ms: Option<u64>,
    warm_up_start_ms: Option<u64>,
    reported_leaving_ms: Option<u64>,
}

impl ReplicaState {
    /// a replica from the list; `cold_since_ms` starts a warm-up for one that joined a running pool.
    pub fn new(replica: Replica, cold_since_ms: Option<u64>) -> Self {
        Self {
            load: LoadEstimate::new(&replica.name),
            replica,
            health: ReplicaHealth::new(),
            reserve_rank: usize::MAX,
            resident_tokens: 0,
            events_lost_ms: None,
            warm_up_start_ms: cold_since_ms,
            reported_leaving_ms: None,
        }
    }

    /// starts the warm-up again, after the replica recovered.
    pub fn warm_up(&mut self, now_ms: u64) {
        self.warm_up_start_ms = Some(now_ms);
    }

    /// share of its usual traffic that it gets now, from `WARM_UP_SHARE` up to 1.
    pub fn warm_up_share(&self, now_ms: u64) -> f64 {
        let Some(start_ms) = self.warm_up_start_ms else { return 1.0 };
        let progress = now_ms.saturating_sub(start_ms) as f64 / WARM_UP_MS as f64;
        (WARM_UP_SHARE + (1.0 - WARM_UP_SHARE) * progress).min(1.0)
    }

    /// records that the replica itself reported that it takes no new work.
    pub fn report_leaving(&mut self, now_ms: u64) {
        self.reported_leaving_ms = Some(now_ms);
    }

    /// whether it takes no new work, by the list or by its own recent report.
    pub fn is_leaving(&self, now_ms: u64) -> bool {
        let reported =
            self.reported_leaving_ms.is_some_and(|reported_ms| now_ms < reported_ms + LEAVING_REPORT_TTL_MS);
        self.replica.leaving || reported
    }
}

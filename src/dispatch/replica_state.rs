use slotmap::new_key_type;

use crate::dispatch::LoadBelief;
use crate::dispatch::Replica;
use crate::dispatch::ReplicaHealth;

/// time during which a new or returned replica gets a growing share of work.
const WARM_UP_MS: u64 = 20_000;

/// share of work at the start of the warm-up.
const WARM_UP_SHARE: f64 = 0.1;

/// how long a replica's own word that it leaves outweighs a list that lags.
const LEAVING_WORD_MS: u64 = 60_000;

new_key_type! {
    /// a replica inside one router.
    pub struct ReplicaKey;
}

/// what a router knows of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// its entry in the list.
    pub replica: Replica,
    /// its load.
    pub load: LoadBelief,
    /// whether it fails or lags behind the others.
    pub health: ReplicaHealth,
    /// place in the order in which its pool keeps replicas quiet.
    pub quiet_rank: usize,
    /// prompt tokens of this router's live programs that ran there last.
    pub resident_tokens: u64,
    /// when events of its cache were last lost.
    pub gap_at_ms: Option<u64>,
    warm_from_ms: Option<u64>,
    said_leaving_ms: Option<u64>,
}

impl ReplicaState {
    /// a replica from the list; one that joined a running pool is cold.
    pub fn new(replica: Replica, cold_since_ms: Option<u64>) -> Self {
        Self {
            load: LoadBelief::new(&replica.name),
            replica,
            health: ReplicaHealth::new(),
            quiet_rank: usize::MAX,
            resident_tokens: 0,
            gap_at_ms: None,
            warm_from_ms: cold_since_ms,
            said_leaving_ms: None,
        }
    }

    /// starts the warm-up again.
    pub fn warm_up(&mut self, now_ms: u64) {
        self.warm_from_ms = Some(now_ms);
    }

    /// share of the work that it would otherwise get.
    pub fn warm_share(&self, now_ms: u64) -> f64 {
        let Some(from_ms) = self.warm_from_ms else { return 1.0 };
        let grown = now_ms.saturating_sub(from_ms) as f64 / WARM_UP_MS as f64;
        (WARM_UP_SHARE + (1.0 - WARM_UP_SHARE) * grown).min(1.0)
    }

    /// notes the replica's own word that it takes no new work.
    pub fn said_leaving(&mut self, now_ms: u64) {
        self.said_leaving_ms = Some(now_ms);
    }

    /// tells whether it takes no new work, by the list or by its own word.
    pub fn is_leaving(&self, now_ms: u64) -> bool {
        let said = self.said_leaving_ms.is_some_and(|said_ms| now_ms < said_ms + LEAVING_WORD_MS);
        self.replica.leaving || said
    }
}

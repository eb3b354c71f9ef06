use std::collections::HashMap;

use crate::poison::PendingStrikes;
use crate::poison::Strikes;
use crate::poison::SuspectRuns;
use crate::schema::StrikesMark;

/// what a front door knows of contents that end replicas.
#[derive(Debug, Default)]
pub struct PoisonState {
    /// runs whose replicas may have ended.
    pub suspects: SuspectRuns,
    /// what this door has seen, and what ledger nodes told it.
    pub strikes: Strikes,
    /// what this door has seen and the ledger does not hold yet.
    pub pending: PendingStrikes,
    /// how far the strikes of each ledger node are known.
    pub marks: HashMap<String, StrikesMark>,
}

impl PoisonState {
    /// forgets what is over.
    pub fn expire(&mut self, now_ms: u64) {
        self.suspects.expire(now_ms);
        self.strikes.expire(now_ms);
    }
}

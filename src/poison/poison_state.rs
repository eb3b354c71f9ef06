use std::collections::HashMap;

use crate::poison::PendingStrikes;
use crate::poison::Strikes;
use crate::poison::SuspectRuns;
use crate::schema::StrikesMark;

/// what a front door knows of contents that crash replicas.
#[derive(Debug, Default)]
pub struct PoisonState {
    /// unanswered runs whose replicas may have ended.
    pub suspects: SuspectRuns,
    /// victims by content, seen by this door or reported by ledger nodes.
    pub strikes: Strikes,
    /// strikes seen by this door that the ledger has not stored yet.
    pub pending: PendingStrikes,
    /// position up to which the strikes of each ledger node are known.
    pub marks: HashMap<String, StrikesMark>,
}

impl PoisonState {
    /// drops suspicions and contents whose time has run out.
    pub fn expire(&mut self, now_ms: u64) {
        self.suspects.expire(now_ms);
        self.strikes.expire(now_ms);
    }
}

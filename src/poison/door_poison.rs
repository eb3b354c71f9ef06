use std::collections::HashMap;

use crate::poison::Strikes;
use crate::poison::Suspicions;
use crate::poison::Untold;
use crate::schema::StrikesMark;

/// what a front door knows of contents that end replicas.
#[derive(Debug, Default)]
pub struct DoorPoison {
    /// runs whose replicas may have ended.
    pub suspicions: Suspicions,
    /// what this door has seen, and what ledger nodes told it.
    pub strikes: Strikes,
    /// what this door has seen and the ledger does not hold yet.
    pub untold: Untold,
    /// how far the strikes of each ledger node are known.
    pub marks: HashMap<String, StrikesMark>,
}

impl DoorPoison {
    /// forgets what is over.
    pub fn expire(&mut self, now_ms: u64) {
        self.suspicions.expire(now_ms);
        self.strikes.expire(now_ms);
    }
}

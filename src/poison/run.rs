use strum::IntoStaticStr;

use crate::schema::PoisonStrike;

/// a request at one start of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRun {
    /// digest of the content.
    pub content: String,
    /// id of the request.
    pub request: String,
    /// id of the replica.
    pub replica: String,
    /// start of the replica's process in Unix milliseconds.
    pub started_unix_ms: u64,
}

impl ReplicaRun {
    /// the strike against the content, once the replica is known to have ended.
    pub fn into_strike(self) -> PoisonStrike {
        let Self { content, request, replica, started_unix_ms } = self;
        PoisonStrike { content, victim: format!("{replica}/{started_unix_ms}/{request}") }
    }
}

/// what shows that a replica has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// its address refuses connections right after one broke.
    Refused,
    /// it has started again under the same id.
    Restarted,
    /// its address was silent after a connection broke, and its entry has gone since.
    Gone,
}

use strum::IntoStaticStr;

use crate::schema::PoisonStrike;

/// execution of a request by one process of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRun {
    /// content digest.
    pub content: String,
    /// request id.
    pub request: String,
    /// replica id.
    pub replica: String,
    /// start of the replica process in Unix milliseconds.
    pub started_unix_ms: u64,
}

impl ReplicaRun {
    /// the strike against the content, if the replica has ended.
    pub fn to_strike(&self) -> PoisonStrike {
        let Self { content, request, replica, started_unix_ms } = self;
        PoisonStrike { content: content.clone(), victim: format!("{replica}/{started_unix_ms}/{request}") }
    }
}

/// evidence that a replica process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// its address refused a connection right after another one broke.
    Refused,
    /// a later process start was seen under the same id.
    Restarted,
    /// its address did not answer after a connection broke, and its entry was removed later.
    Gone,
}

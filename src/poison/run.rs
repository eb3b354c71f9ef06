use strum::IntoStaticStr;

use crate::schema::PoisonStrike;
use crate::schema::SuspectedRun;

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
    /// names the run among all victims of its content.
    pub fn victim(&self) -> String {
        let Self { request, replica, started_unix_ms, .. } = self;
        format!("{replica}/{started_unix_ms}/{request}")
    }

    /// names the run among all runs of all contents.
    pub fn key(&self) -> String {
        format!("{} {}", self.content, self.victim())
    }

    /// the strike against the content, if the replica has ended.
    pub fn to_strike(&self) -> PoisonStrike {
        PoisonStrike { content: self.content.clone(), victim: self.victim(), acquitted: None }
    }

    /// what ledger nodes store of the run after this many changes; it weighs while they are odd.
    pub fn to_suspected(&self, changes: u64) -> SuspectedRun {
        SuspectedRun {
            content: self.content.clone(),
            replica: self.replica.clone(),
            replica_started: self.started_unix_ms,
            request: self.request.clone(),
            changes,
        }
    }
}

impl From<&SuspectedRun> for ReplicaRun {
    fn from(run: &SuspectedRun) -> Self {
        Self {
            content: run.content.clone(),
            request: run.request.clone(),
            replica: run.replica.clone(),
            started_unix_ms: run.replica_started,
        }
    }
}

/// the replica process of a victim, as far as its name tells.
pub(super) fn process_of(victim: &str) -> &str {
    let mut slashes = victim.match_indices('/').map(|(index, _)| index);
    slashes.nth(1).map_or(victim, |end| &victim[..end])
}

/// whether a run weighs against its content after this many changes.
pub(super) fn is_weighing(changes: u64) -> bool {
    changes % 2 == 1
}

/// evidence that a replica process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// its address refused a connection right after another one broke.
    Refused,
    /// a later process start was seen under the same id.
    Restarted,
    /// its address did not answer after a connection broke, and its entry was removed or another replica listed there
    /// later.
    Gone,
}

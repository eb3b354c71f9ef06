use crate::poison::Evidence;
use crate::poison::ReplicaRun;

/// how long after a run that brought no answer the end of its replica counts against the content.
///
/// A replica that ends without a word is missed after a few heartbeats, and back some seconds later.
const SUSPECT_MS: u64 = 15_000;
/// runs that are watched at once; of more, the oldest are given up.
const MAX_RUNS: usize = 4_096;

/// runs that ended without an answer, at replicas of which it is not known whether they have ended.
#[derive(Debug, Default)]
pub struct SuspectRuns {
    /// the oldest first.
    runs: Vec<Suspicion>,
}

#[derive(Debug)]
struct Suspicion {
    run: ReplicaRun,
    since_ms: u64,
    /// whether the replica's address did not answer afterwards.
    is_silent: bool,
}

impl SuspectRuns {
    /// watches the replica of a run; `is_silent` tells that its address did not answer after the run.
    pub fn add(&mut self, now_ms: u64, run: ReplicaRun, is_silent: bool) {
        if self.runs.len() >= MAX_RUNS {
            self.runs.remove(0);
        }
        self.runs.push(Suspicion { run, since_ms: now_ms, is_silent });
    }

    /// takes note of a start of a replica; returns the runs that its last start did not survive.
    pub fn replica_started(&mut self, replica: &str, started_unix_ms: u64) -> Vec<(ReplicaRun, Evidence)> {
        let has_ended = |suspicion: &Suspicion| suspicion.run.started_unix_ms < started_unix_ms;
        self.confirm(replica, Evidence::Restarted, has_ended)
    }

    /// takes note that the entry of a replica is gone; returns the runs that it did not survive.
    ///
    /// Entries go for other reasons too, so a run that was merely slow or given up does not count.
    pub fn replica_gone(&mut self, replica: &str) -> Vec<(ReplicaRun, Evidence)> {
        self.confirm(replica, Evidence::Gone, |suspicion| suspicion.is_silent)
    }

    fn confirm(
        &mut self,
        replica: &str,
        evidence: Evidence,
        counts: impl Fn(&Suspicion) -> bool,
    ) -> Vec<(ReplicaRun, Evidence)> {
        let is_meant = |suspicion: &mut Suspicion| suspicion.run.replica == replica && counts(suspicion);
        self.runs.extract_if(.., is_meant).map(|suspicion| (suspicion.run, evidence)).collect()
    }

    /// gives up runs whose replicas have lived on for long enough.
    pub fn expire(&mut self, now_ms: u64) {
        self.runs.retain(|suspicion| now_ms < suspicion.since_ms + SUSPECT_MS);
    }
}

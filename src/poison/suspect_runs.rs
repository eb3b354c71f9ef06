use crate::poison::Evidence;
use crate::poison::ReplicaRun;

/// how long after an unanswered run the end of its replica counts against the content.
///
/// A replica that crashes silently is missed after a few heartbeats and restarted some seconds later.
const SUSPICION_MS: u64 = 15_000;
/// limit of watched runs; beyond it, the oldest is dropped.
const MAX_RUNS: usize = 4_096;

/// runs without an answer whose replicas may have ended.
#[derive(Debug, Default)]
pub struct SuspectRuns {
    /// oldest first.
    runs: Vec<Suspicion>,
}

#[derive(Debug)]
struct Suspicion {
    run: ReplicaRun,
    since_ms: u64,
    /// whether the replica's address did not answer a probe after the run.
    is_silent: bool,
}

impl SuspectRuns {
    /// watches the replica of a run; `is_silent` if its address did not answer a probe after the run.
    pub fn add(&mut self, now_ms: u64, run: ReplicaRun, is_silent: bool) {
        if self.runs.len() >= MAX_RUNS {
            self.runs.remove(0);
        }
        self.runs.push(Suspicion { run, since_ms: now_ms, is_silent });
    }

    /// handles a process start of a replica; returns the runs of its earlier processes.
    pub fn replica_started(&mut self, replica: &str, started_unix_ms: u64) -> Vec<(ReplicaRun, Evidence)> {
        let has_ended = |suspicion: &Suspicion| suspicion.run.started_unix_ms < started_unix_ms;
        self.confirm(replica, Evidence::Restarted, has_ended)
    }

    /// handles the removal of a replica's entry; returns the runs after which it was silent.
    ///
    /// Entries are removed for other reasons too, so a run that was only slow or abandoned does not count.
    pub fn replica_gone(&mut self, replica: &str) -> Vec<(ReplicaRun, Evidence)> {
        self.confirm(replica, Evidence::Gone, |suspicion| suspicion.is_silent)
    }

    fn confirm(
        &mut self,
        replica: &str,
        evidence: Evidence,
        is_evidence: impl Fn(&Suspicion) -> bool,
    ) -> Vec<(ReplicaRun, Evidence)> {
        let is_confirmed =
            |suspicion: &mut Suspicion| suspicion.run.replica == replica && is_evidence(suspicion);
        self.runs.extract_if(.., is_confirmed).map(|suspicion| (suspicion.run, evidence)).collect()
    }

    /// drops runs whose replicas have not ended within the time limit.
    pub fn expire(&mut self, now_ms: u64) {
        self.runs.retain(|suspicion| now_ms < suspicion.since_ms + SUSPICION_MS);
    }
}

use crate::poison::Evidence;
use crate::poison::LifeSign;
use crate::poison::ReplicaRun;

/// how long after an unanswered run the end of its replica is evidence against the content.
///
/// A replica that crashes silently is missed after a few heartbeats and restarted some seconds later.
const EVIDENCE_MS: u64 = 15_000;
/// how long an unanswered run weighs if nothing clears it: as long as a victim.
const RETENTION_MS: u64 = 600_000;
/// time after a run within which an answer that left the replica before the run ended may still arrive.
const IN_FLIGHT_MS: u64 = 100;
/// time in which a restarted replica is listed with its new start: a few heartbeats.
const LISTING_MS: u64 = 3_000;
/// limit of watched runs; beyond it, the oldest is dropped, cleared ones first.
const MAX_RUNS: usize = 4_096;

/// runs that ended without an answer, whose replicas may have ended.
#[derive(Debug, Default)]
pub struct SuspectRuns {
    /// oldest first.
    runs: Vec<Suspicion>,
}

/// a run that ended without an answer.
#[derive(Clone, Debug)]
pub struct UnansweredRun {
    /// the run.
    pub run: ReplicaRun,
    /// when it began.
    pub begun_ms: u64,
    /// whether the replica's address did not answer a probe after the run.
    pub is_silent: bool,
}

#[derive(Debug)]
struct Suspicion {
    run: ReplicaRun,
    begun_ms: u64,
    since_ms: u64,
    is_silent: bool,
    /// whether the end of the replica is too late to be evidence.
    is_evidence_late: bool,
    standing: Standing,
}

/// what is known of the replica process since the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// nothing.
    Unknown,
    /// a process answers under the replica's id, which may have started since.
    Answering { since_ms: u64 },
    /// the same process has answered since.
    Cleared,
}

impl Suspicion {
    fn new(now_ms: u64, unanswered: UnansweredRun) -> Self {
        let UnansweredRun { run, begun_ms, is_silent } = unanswered;
        Self {
            run,
            begun_ms,
            since_ms: now_ms,
            is_silent,
            is_evidence_late: false,
            standing: Standing::Unknown,
        }
    }
}

impl SuspectRuns {
    /// watches the replica of a run that ended now; returns a run that there is no more room for.
    pub fn add(&mut self, now_ms: u64, unanswered: UnansweredRun) -> Option<ReplicaRun> {
        self.push(Suspicion::new(now_ms, unanswered))
    }

    /// watches the replica of another door's run, as `add` does. Its end is no evidence, as the run may be long ago.
    pub fn adopt(&mut self, now_ms: u64, run: ReplicaRun) -> Option<ReplicaRun> {
        let adopted = UnansweredRun { run, begun_ms: 0, is_silent: false };
        self.push(Suspicion { is_evidence_late: true, ..Suspicion::new(now_ms, adopted) })
    }

    fn push(&mut self, suspicion: Suspicion) -> Option<ReplicaRun> {
        let is_full = self.runs.len() >= MAX_RUNS;
        let dropped = is_full.then(|| {
            let cleared = self.runs.iter().position(|known| known.standing == Standing::Cleared);
            self.runs.remove(cleared.unwrap_or(0)).run
        });
        self.runs.push(suspicion);
        dropped
    }

    /// clears a run that another door has cleared.
    pub fn settle(&mut self, run: &ReplicaRun) {
        for suspicion in self.runs.iter_mut().filter(|suspicion| suspicion.run == *run) {
            suspicion.standing = Standing::Cleared;
        }
    }

    /// handles a process start of a replica; returns the runs of its earlier processes.
    pub fn replica_started(&mut self, replica: &str, started_unix_ms: u64) -> Vec<(ReplicaRun, Evidence)> {
        let has_ended = |suspicion: &Suspicion| suspicion.run.started_unix_ms < started_unix_ms;
        self.confirm(replica, Evidence::Restarted, has_ended)
    }

    /// handles the removal of a replica's entry; returns the runs after which it was silent.
    ///
    /// Entries are removed for other reasons too, so a run that was only slow or abandoned is no strike; it
    /// stays suspected.
    pub fn replica_gone(&mut self, replica: &str) -> Vec<(ReplicaRun, Evidence)> {
        self.confirm(replica, Evidence::Gone, |suspicion| suspicion.is_silent)
    }

    fn confirm(
        &mut self,
        replica: &str,
        evidence: Evidence,
        is_evidence: impl Fn(&Suspicion) -> bool,
    ) -> Vec<(ReplicaRun, Evidence)> {
        let is_confirmed = |suspicion: &mut Suspicion| {
            suspicion.run.replica == replica && !suspicion.is_evidence_late && is_evidence(suspicion)
        };
        self.runs.extract_if(.., is_confirmed).map(|suspicion| (suspicion.run, evidence)).collect()
    }

    /// handles an answer of a replica; returns the runs that it clears.
    pub fn replica_answered(&mut self, now_ms: u64, sign: &LifeSign<'_>) -> Vec<ReplicaRun> {
        let mut cleared = Vec::new();
        for suspicion in &mut self.runs {
            let run = &suspicion.run;
            if run.replica != sign.replica
                || run.started_unix_ms != sign.started_unix_ms
                || now_ms < suspicion.since_ms + IN_FLIGHT_MS
            {
                continue;
            }
            match suspicion.standing {
                Standing::Cleared => {}
                Standing::Unknown | Standing::Answering { .. }
                    if sign.is_same_process(suspicion.begun_ms) =>
                {
                    suspicion.standing = Standing::Cleared;
                    cleared.push(run.clone());
                }
                Standing::Unknown => suspicion.standing = Standing::Answering { since_ms: now_ms },
                Standing::Answering { .. } => {}
            }
        }
        cleared
    }

    /// clears the runs that ended after `heard_ms`, the last sign of any replica, since no replica could be reached
    /// after it; returns them. The end of their replicas is still evidence.
    pub fn way_was_cut(&mut self, heard_ms: u64) -> Vec<ReplicaRun> {
        let unexplained = self
            .runs
            .iter_mut()
            .filter(|suspicion| suspicion.since_ms > heard_ms && suspicion.standing != Standing::Cleared);
        let cleared = unexplained.map(|suspicion| {
            suspicion.standing = Standing::Cleared;
            suspicion.run.clone()
        });
        cleared.collect()
    }

    /// runs at a replica that were cleared a short time ago.
    pub fn recently_cleared<'a>(&'a self, replica: &'a str) -> impl Iterator<Item = &'a ReplicaRun> {
        let is_cleared = move |suspicion: &&Suspicion| {
            suspicion.run.replica == replica
                && suspicion.standing == Standing::Cleared
                && !suspicion.is_evidence_late
        };
        self.runs.iter().filter(is_cleared).map(|suspicion| &suspicion.run)
    }

    /// clears all runs of a content that a replica has run to a successful end.
    pub fn content_succeeded(&mut self, content: &str) {
        for suspicion in self.runs.iter_mut().filter(|suspicion| suspicion.run.content == content) {
            suspicion.standing = Standing::Cleared;
        }
    }

    /// runs that are not cleared.
    pub fn unresolved(&self) -> impl Iterator<Item = &ReplicaRun> {
        let unresolved = self.runs.iter().filter(|suspicion| suspicion.standing != Standing::Cleared);
        unresolved.map(|suspicion| &suspicion.run)
    }

    /// drops runs whose time limit has passed, and returns those that it clears: their replicas have answered
    /// for so long that a restart would be listed. `is_list_current` tells whether the list can show one.
    pub fn expire(&mut self, now_ms: u64, is_list_current: bool) -> Vec<ReplicaRun> {
        let mut cleared = Vec::new();
        for suspicion in &mut self.runs {
            suspicion.is_evidence_late |= now_ms >= suspicion.since_ms + EVIDENCE_MS;
            let Standing::Answering { since_ms } = &mut suspicion.standing else {
                continue;
            };
            if !is_list_current {
                *since_ms = now_ms;
            } else if now_ms >= *since_ms + LISTING_MS {
                suspicion.standing = Standing::Cleared;
                cleared.push(suspicion.run.clone());
            }
        }
        self.runs.retain(|suspicion| {
            let keep_ms = match suspicion.standing {
                Standing::Cleared => EVIDENCE_MS,
                Standing::Unknown | Standing::Answering { .. } => RETENTION_MS,
            };
            now_ms < suspicion.since_ms + keep_ms
        });
        cleared
    }
}

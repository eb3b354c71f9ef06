use std::collections::HashSet;

use crate::poison::Evidence;
use crate::poison::LifeSign;
use crate::poison::ReplicaRun;
use crate::poison::active_runs::OVERDUE_MS;

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
/// time after a cut of the door within which the replicas of the runs that it explains are heard again.
const AFTER_CUT_MS: u64 = 10_000;
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
    /// when the replica process was last heard, not before the run began.
    pub heard_ms: u64,
    /// whether the replica's address did not answer a probe after the run.
    pub is_silent: bool,
}

#[derive(Debug)]
struct Suspicion {
    run: ReplicaRun,
    begun_ms: u64,
    heard_ms: u64,
    since_ms: u64,
    is_silent: bool,
    /// whether the end of the replica is too late to be evidence.
    is_evidence_late: bool,
    /// until when a cut of the door explains the run.
    explained_until_ms: Option<u64>,
    standing: Standing,
}

/// what is known of the replica process since the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// nothing.
    Unknown,
    /// a process answers under the replica's id, which may have started since.
    Answering { since_ms: u64 },
    /// the same process has answered since. It may still go on with the run.
    Alive,
    /// the content has been run to a successful end.
    Harmless,
}

impl Suspicion {
    fn new(now_ms: u64, unanswered: UnansweredRun) -> Self {
        let UnansweredRun { run, begun_ms, heard_ms, is_silent } = unanswered;
        Self {
            run,
            begun_ms,
            heard_ms,
            since_ms: now_ms,
            is_silent,
            is_evidence_late: false,
            explained_until_ms: None,
            standing: Standing::Unknown,
        }
    }

    fn is_cleared(&self) -> bool {
        match self.standing {
            Standing::Unknown | Standing::Answering { .. } => false,
            Standing::Alive | Standing::Harmless => true,
        }
    }

    fn is_weighing(&self, now_ms: u64) -> bool {
        !self.is_cleared() && self.explained_until_ms.is_none_or(|until_ms| now_ms >= until_ms)
    }
}

impl SuspectRuns {
    /// watches the replica of a run that ended now; returns a run that there is no more room for.
    pub fn add(&mut self, now_ms: u64, unanswered: UnansweredRun) -> Option<ReplicaRun> {
        self.push(Suspicion::new(now_ms, unanswered))
    }

    /// watches the replica of another door's run, as `add` does. Its end is no evidence, as the run may be long ago.
    pub fn adopt(&mut self, now_ms: u64, run: ReplicaRun) -> Option<ReplicaRun> {
        let adopted = UnansweredRun { run, begun_ms: 0, heard_ms: 0, is_silent: false };
        self.push(Suspicion { is_evidence_late: true, ..Suspicion::new(now_ms, adopted) })
    }

    fn push(&mut self, suspicion: Suspicion) -> Option<ReplicaRun> {
        let is_full = self.runs.len() >= MAX_RUNS;
        let dropped = is_full.then(|| {
            let cleared = self.runs.iter().position(Suspicion::is_cleared);
            self.runs.remove(cleared.unwrap_or(0)).run
        });
        self.runs.push(suspicion);
        dropped
    }

    /// clears a run that another door has cleared.
    pub fn settle(&mut self, run: &ReplicaRun) {
        for suspicion in self.runs.iter_mut().filter(|suspicion| suspicion.run == *run) {
            suspicion.standing = Standing::Alive;
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

    /// lets the runs of a replica that is gone weigh again that were cleared, or explained by a cut, a short time ago:
    /// it may have gone on with them until its end. Returns these runs.
    pub fn reopen(&mut self, replica: &str) -> Vec<ReplicaRun> {
        let mut reopened = Vec::new();
        for suspicion in &mut self.runs {
            let is_harmless = suspicion.standing == Standing::Harmless;
            if suspicion.run.replica != replica || suspicion.is_evidence_late || is_harmless {
                continue;
            }
            let was_explained = suspicion.explained_until_ms.take().is_some();
            if suspicion.is_cleared() || was_explained {
                reopened.push(suspicion.run.clone());
            }
            suspicion.standing = Standing::Unknown;
        }
        reopened
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
                Standing::Alive | Standing::Harmless => {}
                Standing::Unknown | Standing::Answering { .. }
                    if sign.is_same_process(suspicion.begun_ms) =>
                {
                    suspicion.standing = Standing::Alive;
                    cleared.push(run.clone());
                }
                Standing::Unknown => suspicion.standing = Standing::Answering { since_ms: now_ms },
                Standing::Answering { .. } => {}
            }
        }
        cleared
    }

    /// notes that a cut explains the runs that ended after `heard_ms`, the last sign of any replica, but those whose
    /// replicas had been silent for long by then; returns the runs that are explained from now on.
    ///
    /// One run of each content still weighs: a replica that ended as the cut began looks the same.
    pub fn way_was_cut(&mut self, heard_ms: u64) -> Vec<ReplicaRun> {
        let mut explained = Vec::new();
        let mut weighing = HashSet::new();
        for suspicion in &mut self.runs {
            let was_overdue = heard_ms >= suspicion.heard_ms + OVERDUE_MS;
            let may_be_explained = suspicion.since_ms > heard_ms && !was_overdue;
            if !may_be_explained || suspicion.is_cleared() || suspicion.explained_until_ms.is_some() {
                continue;
            }
            if weighing.insert(suspicion.run.content.as_str()) {
                continue;
            }
            suspicion.explained_until_ms = Some(u64::MAX);
            explained.push(suspicion.run.clone());
        }
        explained
    }

    /// handles the end of a cut: what it explains weighs again unless the replicas are heard soon.
    pub fn way_is_back(&mut self, now_ms: u64) {
        for suspicion in &mut self.runs {
            if suspicion.explained_until_ms == Some(u64::MAX) {
                suspicion.explained_until_ms = Some(now_ms + AFTER_CUT_MS);
            }
        }
    }

    /// clears all runs of a content that a replica has run to a successful end.
    pub fn content_succeeded(&mut self, content: &str) {
        for suspicion in self.runs.iter_mut().filter(|suspicion| suspicion.run.content == content) {
            suspicion.standing = Standing::Harmless;
        }
    }

    /// whether no replica is watched.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// runs that weigh: they are not cleared, nor explained by a cut.
    pub fn unresolved(&self, now_ms: u64) -> impl Iterator<Item = &ReplicaRun> {
        let weighing = self.runs.iter().filter(move |suspicion| suspicion.is_weighing(now_ms));
        weighing.map(|suspicion| &suspicion.run)
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
                suspicion.standing = Standing::Alive;
                cleared.push(suspicion.run.clone());
            }
        }
        self.runs.retain(|suspicion| {
            let keep_ms = match suspicion.standing {
                Standing::Alive | Standing::Harmless => EVIDENCE_MS,
                Standing::Unknown | Standing::Answering { .. } => RETENTION_MS,
            };
            now_ms < suspicion.since_ms + keep_ms
        });
        cleared
    }
}

use std::ops::RangeBounds;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::poison::Content;
use crate::poison::LifeSign;
use crate::poison::ReplicaRun;

/// silence of a replica after which a run counts as unresolved: several times as long as a busy replica is
/// silent on all its connections.
pub(super) const OVERDUE_MS: u64 = 1_000;
/// silence of a replica after which ledger nodes are told of a run in flight, in case this door ends.
const REPORTED_SILENCE_MS: u64 = 200;

new_key_type! {
    /// key of a run that has not ended.
    pub struct RunKey;
}

/// runs that have not ended.
#[derive(Debug, Default)]
pub struct ActiveRuns {
    runs: SlotMap<RunKey, ActiveRun>,
}

/// a run that has not ended.
#[derive(Debug)]
pub struct ActiveRun {
    content: Content,
    request: String,
    replica: String,
    started_unix_ms: u64,
    /// when it began.
    pub begun_ms: u64,
    /// when the replica process last sent a byte, of this answer or of another one.
    pub heard_ms: u64,
}

impl ActiveRuns {
    /// adds a run that begins now.
    pub fn begin(
        &mut self,
        now_ms: u64,
        content: Content,
        request: String,
        replica: String,
        started_unix_ms: u64,
    ) -> RunKey {
        self.runs.insert(ActiveRun {
            content,
            request,
            replica,
            started_unix_ms,
            begun_ms: now_ms,
            heard_ms: now_ms,
        })
    }

    /// handles a part of the run's answer.
    pub fn record_progress(&mut self, now_ms: u64, key: RunKey) {
        if let Some(run) = self.runs.get_mut(key) {
            run.heard_ms = now_ms;
        }
    }

    /// handles an answer to another request.
    pub fn record_life_sign(&mut self, now_ms: u64, sign: &LifeSign<'_>) {
        for run in self.runs.values_mut() {
            let is_replica = run.replica == sign.replica && run.started_unix_ms == sign.started_unix_ms;
            if is_replica && sign.is_same_process(run.begun_ms) {
                run.heard_ms = now_ms;
            }
        }
    }

    /// removes a run that has ended.
    pub fn remove(&mut self, key: RunKey) -> Option<ActiveRun> {
        self.runs.remove(key)
    }

    /// how long the run that waits longest has heard nothing of its replica; 0 without a run.
    pub fn longest_wait_ms(&self, now_ms: u64) -> u64 {
        let waits = self.runs.values().map(|run| now_ms.saturating_sub(run.heard_ms));
        waits.max().unwrap_or(0)
    }

    /// runs whose replicas have been silent for so long that they may have ended.
    pub fn overdue(&self, now_ms: u64) -> impl Iterator<Item = ReplicaRun> {
        self.silent_for(now_ms, OVERDUE_MS..).map(ActiveRun::to_replica_run)
    }

    /// the same runs, each for all digests that its request is recognised by.
    pub(super) fn overdue_by_digest(&self, now_ms: u64) -> impl Iterator<Item = ReplicaRun> {
        self.silent_for(now_ms, OVERDUE_MS..).flat_map(ActiveRun::to_replica_runs)
    }

    /// runs whose replicas have been silent for a moment, but are not overdue.
    pub fn in_flight(&self, now_ms: u64) -> impl Iterator<Item = ReplicaRun> {
        self.silent_for(now_ms, REPORTED_SILENCE_MS..OVERDUE_MS).map(ActiveRun::to_replica_run)
    }

    fn silent_for(&self, now_ms: u64, silence_ms: impl RangeBounds<u64>) -> impl Iterator<Item = &ActiveRun> {
        let is_silent = move |run: &&ActiveRun| silence_ms.contains(&now_ms.saturating_sub(run.heard_ms));
        self.runs.values().filter(is_silent)
    }
}

impl ActiveRun {
    /// the run of each digest that the request is recognised by, the exact one first.
    pub fn to_replica_runs(&self) -> Vec<ReplicaRun> {
        self.content.digests().iter().map(|digest| self.run_of(digest)).collect()
    }

    /// what identifies the run.
    pub fn to_replica_run(&self) -> ReplicaRun {
        self.run_of(&self.content.digests().exact)
    }

    fn run_of(&self, digest: &str) -> ReplicaRun {
        ReplicaRun {
            content: digest.to_owned(),
            request: self.request.clone(),
            replica: self.replica.clone(),
            started_unix_ms: self.started_unix_ms,
        }
    }
}

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::poison::ActiveRuns;
use crate::poison::HOLD_THRESHOLD;
use crate::poison::Hold;
use crate::poison::LifeSign;
use crate::poison::PendingRecords;
use crate::poison::ReplicaRun;
use crate::poison::Strikes;
use crate::poison::SuspectRuns;
use crate::poison::UnansweredRun;
use crate::poison::remote_runs::RemoteRuns;
use crate::poison::reported_runs::ReportedRuns;
use crate::poison::run::is_weighing;
use crate::schema::StrikesMark;
use crate::schema::SuspectedRun;

/// replicas that are checked at once.
const MAX_CHECKED: usize = 4;
/// runs in flight in one report: as many as an instance begins in a second.
const MAX_IN_FLIGHT: usize = 64;

/// what a front door knows of contents that crash replicas.
#[derive(Debug, Default)]
pub struct PoisonState {
    /// runs that have not ended.
    pub active: ActiveRuns,
    /// unanswered runs whose replicas may have ended.
    pub suspects: SuspectRuns,
    /// victims by content, seen by this door or reported by ledger nodes.
    pub strikes: Strikes,
    /// what the ledger nodes have not stored yet.
    pub pending: PendingRecords,
    /// position up to which the records of each ledger node are known.
    pub marks: HashMap<String, StrikesMark>,
    /// unanswered runs of all doors, as ledger nodes told them.
    remote: RemoteRuns,
    /// runs of this door that weigh, by content.
    local: BTreeMap<String, Vec<ReplicaRun>>,
    /// what the ledger nodes are told of these runs.
    reported: ReportedRuns,
    /// last sign of any replica while the door is cut off from them, so that their silence since says nothing of them.
    cut_since_ms: Option<u64>,
    /// runs whose replicas were checked so far.
    checked_count: usize,
}

impl PoisonState {
    /// handles an answer of a replica; returns the runs that it clears.
    pub fn replica_answered(&mut self, now_ms: u64, sign: &LifeSign<'_>) -> Vec<ReplicaRun> {
        self.active.record_life_sign(now_ms, sign);
        let cleared = self.suspects.replica_answered(now_ms, sign);
        if !cleared.is_empty() {
            self.update_local(now_ms);
        }
        cleared
    }

    /// handles a successful answer to a request with a content that stands for many: its unanswered runs say
    /// little about it.
    pub fn content_succeeded(&mut self, now_ms: u64, content: &str) {
        if !self.local.contains_key(content) {
            return;
        }
        self.suspects.content_succeeded(content);
        self.update_local(now_ms);
    }

    /// handles the door's belief in its way to the replicas; `heard_ms` is the last sign of any of them. Returns the
    /// runs that a cut explains.
    pub fn set_cut_off(&mut self, now_ms: u64, is_cut_off: bool, heard_ms: u64) -> Vec<ReplicaRun> {
        self.cut_since_ms = is_cut_off.then_some(heard_ms);
        let explained = if is_cut_off {
            self.suspects.way_was_cut(heard_ms)
        } else {
            self.suspects.way_is_back(now_ms);
            Vec::new()
        };
        self.update_local(now_ms);
        explained
    }

    /// adds unanswered runs of any doors that a ledger node told.
    pub fn add_remote(&mut self, now_ms: u64, runs: &[SuspectedRun]) {
        for run in runs {
            if self.remote.add(now_ms, run) && !is_weighing(run.changes) {
                self.suspects.settle(&ReplicaRun::from(run));
            }
        }
    }

    /// collects the runs of this door that weigh, suspects and active runs whose replicas are silent, and notes what
    /// the ledger nodes are to be told.
    pub fn update_local(&mut self, now_ms: u64) {
        self.local.clear();
        let overdue = self.active.overdue(self.cut_since_ms.unwrap_or(now_ms));
        for run in self.suspects.unresolved(now_ms).cloned().chain(overdue) {
            self.local.entry(run.content.clone()).or_default().push(run);
        }
        // A cut may explain the others, but for one of each content.
        for run in self.active.overdue(now_ms).filter(|_| self.cut_since_ms.is_some()) {
            self.local.entry(run.content.clone()).or_insert_with(|| vec![run]);
        }
        for run in self.reported.update(now_ms, self.local.values().flatten()) {
            self.pending.add_run(run);
        }
    }

    /// whether nothing is known against any content.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty() && self.local.is_empty() && self.remote.is_empty()
    }

    /// whether a content must not be sent to another replica, and why.
    pub fn hold(&self, content: &str) -> Option<Hold> {
        if self.strikes.is_held(content) {
            return Some(Hold::Struck);
        }
        (self.possible_victims(content).len() >= HOLD_THRESHOLD).then_some(Hold::Suspected)
    }

    /// replicas that a content has crashed, or may have.
    fn possible_victims(&self, content: &str) -> BTreeSet<String> {
        let mut victims: BTreeSet<String> = self.strikes.victims(content).map(str::to_owned).collect();
        // What this door has cleared since, the ledger nodes may not know yet.
        let is_current = |(victim, run): &(&str, &SuspectedRun)| self.reported.changes(victim) <= run.changes;
        let remote = self.remote.weighing(content).filter(is_current);
        victims.extend(remote.map(|(victim, _)| victim.to_owned()));
        victims.extend(self.local.get(content).into_iter().flatten().map(ReplicaRun::victim));
        victims
    }

    /// suspects a run that ended now without an answer.
    pub fn suspect(&mut self, now_ms: u64, unanswered: UnansweredRun) {
        if let Some(dropped) = self.suspects.add(now_ms, unanswered) {
            self.reported.forget(&dropped);
        }
        self.update_local(now_ms);
    }

    /// takes over the runs of a suspected content, so that they are cleared if their replicas answer this door: the
    /// doors that had them may have ended.
    pub fn adopt_runs(&mut self, now_ms: u64, content: &str) {
        for (_, run) in self.remote.weighing(content) {
            if !self.reported.adopt(run) {
                continue;
            }
            if let Some(dropped) = self.suspects.adopt(now_ms, ReplicaRun::from(run)) {
                self.reported.forget(&dropped);
            }
        }
        self.update_local(now_ms);
    }

    /// runs that would be forgotten if this process ended now; those that are overdue are told as unresolved.
    pub fn in_flight_runs(&self, now_ms: u64) -> Vec<SuspectedRun> {
        let in_flight = self.active.in_flight(self.cut_since_ms.unwrap_or(now_ms));
        in_flight.take(MAX_IN_FLIGHT).map(|run| run.to_suspected(1)).collect()
    }

    /// runs of this door that weigh, and those of them that no ledger node has stored.
    pub fn unresolved_counts(&self) -> (usize, usize) {
        (self.local.values().map(Vec::len).sum(), self.pending.unreported_count())
    }

    /// runs of this door whose replicas decide whether a content stays held, some of them at each call.
    pub fn runs_to_check(&mut self) -> Vec<ReplicaRun> {
        let suspected = self.local.iter().filter(|(content, _)| self.hold(content) == Some(Hold::Suspected));
        let runs: Vec<&ReplicaRun> = suspected.flat_map(|(_, runs)| runs).collect();
        let count = runs.len().min(MAX_CHECKED);
        // In turn, as some replicas never answer.
        let checked = (0..count).map(|step| runs[(self.checked_count + step) % runs.len()].clone()).collect();
        self.checked_count = self.checked_count.wrapping_add(count);
        checked
    }

    /// drops what has outlived its time limit; returns the runs that are cleared by now. `is_list_current`
    /// tells whether the list of replicas would show a restart.
    pub fn expire(&mut self, now_ms: u64, is_list_current: bool) -> Vec<ReplicaRun> {
        self.strikes.expire(now_ms);
        self.remote.expire(now_ms);
        let cleared = self.suspects.expire(now_ms, is_list_current);
        self.update_local(now_ms);
        cleared
    }
}

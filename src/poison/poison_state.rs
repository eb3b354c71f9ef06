use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::poison::ActiveRun;
use crate::poison::ActiveRuns;
use crate::poison::AnsweredContents;
use crate::poison::ContentDigests;
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
use crate::poison::run::process_of;
use crate::schema::PoisonStrike;
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
    /// what replicas have run to a successful end of late.
    answered: AnsweredContents,
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

    /// handles a successful answer to a request: what it shares with others does not end replicas as such, and its
    /// victims so far were victims of something else. Returns the number of strikes that it is acquitted of.
    pub fn content_succeeded(&mut self, now_ms: u64, digests: &ContentDigests, is_specific: bool) -> usize {
        for digest in &digests.shared {
            self.answered.record(now_ms, digest);
        }
        if self.is_empty() {
            return 0;
        }
        let acquitted: Vec<PoisonStrike> =
            digests.iter().flat_map(|digest| self.strikes.acquit(now_ms, digest)).collect();
        for strike in &acquitted {
            self.pending.add_strike(strike.clone());
        }
        // Unanswered runs say little about what many requests share.
        let exact = Some(digests.exact.as_str()).filter(|_| !is_specific);
        let shared = digests.shared.iter().map(String::as_str).chain(exact);
        let unanswered: Vec<&str> = shared.filter(|digest| self.local.contains_key(*digest)).collect();
        for digest in &unanswered {
            self.suspects.content_succeeded(digest);
        }
        if !unanswered.is_empty() {
            self.update_local(now_ms);
        }
        acquitted.len()
    }

    /// adds a strike that this door saw or a ledger node told, as `Strikes::add` does. What has been answered of late is
    /// acquitted at once.
    pub fn add_strike(&mut self, now_ms: u64, strike: &PoisonStrike) -> Option<usize> {
        let ended = self.strikes.add(now_ms, strike);
        if self.answered.is_recent(now_ms, &strike.content) {
            for acquitted in self.strikes.acquit(now_ms, &strike.content) {
                self.pending.add_strike(acquitted);
            }
        }
        ended
    }

    /// the runs of a request that weigh if its replica has ended: not of what others share with it that has been
    /// answered of late.
    pub fn runs_of(&self, now_ms: u64, run: &ActiveRun) -> Vec<ReplicaRun> {
        let mut runs = run.to_replica_runs();
        runs.retain(|run| !self.answered.is_recent(now_ms, &run.content));
        runs
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
        let is_answered = |run: &ReplicaRun| self.answered.is_recent(now_ms, &run.content);
        let overdue = self.active.overdue_by_digest(self.cut_since_ms.unwrap_or(now_ms));
        let overdue = overdue.filter(|run| !is_answered(run));
        for run in self.suspects.unresolved(now_ms).cloned().chain(overdue) {
            self.local.entry(run.content.clone()).or_default().push(run);
        }
        // A cut may explain the others, but for one of each content.
        let cut_off = self.active.overdue_by_digest(now_ms).filter(|_| self.cut_since_ms.is_some());
        for run in cut_off.filter(|run| !is_answered(run)) {
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

    /// whether a request must not be sent to another replica, why, and by which of its digests.
    pub fn hold_any<'a>(&self, now_ms: u64, digests: &'a ContentDigests) -> Option<(Hold, &'a str)> {
        if let Some(hold) = self.hold(&digests.exact) {
            return Some((hold, &digests.exact));
        }
        let shared = digests.shared.iter().filter(|digest| !self.answered.is_recent(now_ms, digest));
        let mut holds = shared.filter_map(|digest| Some((self.hold_shared(digest)?, digest.as_str())));
        holds.next()
    }

    /// whether a request may have ended a replica, though not as many as the threshold: by what this door knows now.
    pub fn is_suspect(&self, now_ms: u64, digests: &ContentDigests) -> bool {
        let shared = digests.shared.iter().filter(|digest| !self.answered.is_recent(now_ms, digest));
        let mut all = std::iter::once(&digests.exact).chain(shared);
        all.any(|digest| !self.possible_victims(digest).is_empty())
    }

    /// whether what many requests share is held: each process of a replica counts once, however many of them it ran.
    fn hold_shared(&self, digest: &str) -> Option<Hold> {
        if self.strikes.is_held(digest) {
            return Some(Hold::Struck);
        }
        let victims = self.possible_victims(digest);
        let processes: BTreeSet<&str> = victims.iter().map(|victim| process_of(victim)).collect();
        (processes.len() >= HOLD_THRESHOLD).then_some(Hold::Suspected)
    }

    /// runs under which a content has ended replicas, or may have, but for ends that another content explains.
    fn possible_victims(&self, content: &str) -> BTreeSet<String> {
        let mut victims: BTreeSet<String> = self.strikes.victims(content).map(str::to_owned).collect();
        // What this door has cleared since, the ledger nodes may not know yet.
        let is_current = |run: &SuspectedRun| self.reported.changes(&ReplicaRun::from(run)) <= run.changes;
        let remote = self.remote.weighing(content).filter(|(_, run)| is_current(run));
        victims.extend(remote.map(|(victim, _)| victim.to_owned()));
        victims.extend(self.local.get(content).into_iter().flatten().map(ReplicaRun::victim));
        victims.retain(|victim| !self.strikes.is_explained(victim));
        victims
    }

    /// suspects the runs of a request that ended now without an answer.
    pub fn suspect_all(&mut self, now_ms: u64, ended: &ActiveRun, is_silent: bool) {
        for run in self.runs_of(now_ms, ended) {
            let (begun_ms, heard_ms) = (ended.begun_ms, ended.heard_ms);
            self.suspect(now_ms, UnansweredRun { run, begun_ms, heard_ms, is_silent });
        }
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
        let unresolved: BTreeSet<String> = self.local.values().flatten().map(ReplicaRun::victim).collect();
        (unresolved.len(), self.pending.unreported_count())
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

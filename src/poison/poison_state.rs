use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::poison::ActiveRuns;
use crate::poison::HOLD_THRESHOLD;
use crate::poison::Hold;
use crate::poison::LifeSign;
use crate::poison::PendingStrikes;
use crate::poison::ReplicaRun;
use crate::poison::Strikes;
use crate::poison::SuspectRuns;
use crate::schema::PoisonStrike;
use crate::schema::StrikesMark;

/// unresolved runs in one report; reports go out several times a second.
const MAX_REPORTED: usize = 32;
/// how long the word of a ledger node that stopped answering counts; others answer meanwhile.
const REMOTE_KEEP_MS: u64 = 10_000;
/// replicas that are checked at once.
const MAX_CHECKED: usize = 4;

/// what a front door knows of contents that crash replicas.
#[derive(Debug, Default)]
pub struct PoisonState {
    /// runs that have not ended.
    pub active: ActiveRuns,
    /// unanswered runs whose replicas may have ended.
    pub suspects: SuspectRuns,
    /// victims by content, seen by this door or reported by ledger nodes.
    pub strikes: Strikes,
    /// strikes seen by this door that the ledger has not stored yet.
    pub pending: PendingStrikes,
    /// position up to which the strikes of each ledger node are known.
    pub marks: HashMap<String, StrikesMark>,
    /// unresolved runs of other doors, as each ledger node told them last.
    remote: HashMap<String, RemoteRuns>,
    /// unresolved runs of this door by content.
    local: BTreeMap<String, Vec<ReplicaRun>>,
    /// whether the door is cut off from the replicas, so that their silence says nothing of them.
    is_cut_off: bool,
}

/// unresolved runs of other doors that one ledger node knows.
#[derive(Debug)]
struct RemoteRuns {
    runs: Vec<PoisonStrike>,
    received_ms: u64,
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
        self.is_cut_off = is_cut_off;
        let cleared = if is_cut_off { self.suspects.way_was_cut(heard_ms) } else { Vec::new() };
        self.update_local(now_ms);
        cleared
    }

    /// replaces the unresolved runs of other doors that a ledger node knows.
    ///
    /// A strike is stored at a quorum of the nodes, so only some of them see that a content reaches the
    /// threshold.
    pub fn set_remote(&mut self, now_ms: u64, node: &str, runs: Vec<PoisonStrike>) {
        if runs.is_empty() {
            self.remote.remove(node);
            return;
        }
        self.remote.insert(node.to_owned(), RemoteRuns { runs, received_ms: now_ms });
    }

    /// collects the unresolved runs of this door: suspects, and active runs whose replicas are silent.
    pub fn update_local(&mut self, now_ms: u64) {
        self.local.clear();
        let overdue = self.active.overdue(now_ms).filter(|_| !self.is_cut_off);
        for run in self.suspects.unresolved().cloned().chain(overdue) {
            self.local.entry(run.content.clone()).or_default().push(run);
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
        let remote = self.remote.values().flat_map(|told| &told.runs).filter(|run| run.content == content);
        victims.extend(remote.map(|run| run.victim.clone()));
        victims.extend(self.local.get(content).into_iter().flatten().map(|run| run.to_strike().victim));
        victims
    }

    /// what other doors need to know and the ledger has not stored: strikes, and unresolved runs as possible
    /// strikes, those of the contents with the most first.
    pub fn reportable(&self) -> Vec<PoisonStrike> {
        let mut contents: Vec<&Vec<ReplicaRun>> = self.local.values().collect();
        contents.sort_by_cached_key(|runs| std::cmp::Reverse(self.possible_victims(&runs[0].content).len()));
        let unresolved = contents.into_iter().flatten().map(ReplicaRun::to_strike);
        self.pending.strikes().cloned().chain(unresolved).take(MAX_REPORTED).collect()
    }

    /// unresolved runs of this door, and how many of them one report has no room for.
    pub fn unresolved_counts(&self) -> (usize, usize) {
        let unresolved = self.local.values().map(Vec::len).sum::<usize>();
        let room = MAX_REPORTED.saturating_sub(self.pending.strikes().count());
        (unresolved, unresolved.saturating_sub(room))
    }

    /// runs of this door whose replicas decide whether a content stays held.
    pub fn runs_to_check(&self) -> Vec<ReplicaRun> {
        let suspected = self.local.iter().filter(|(content, _)| self.hold(content) == Some(Hold::Suspected));
        suspected.flat_map(|(_, runs)| runs).take(MAX_CHECKED).cloned().collect()
    }

    /// drops what has outlived its time limit; returns the runs that are cleared by now. `is_list_current`
    /// tells whether the list of replicas would show a restart.
    pub fn expire(&mut self, now_ms: u64, is_list_current: bool) -> Vec<ReplicaRun> {
        self.strikes.expire(now_ms);
        self.remote.retain(|_, told| now_ms < told.received_ms + REMOTE_KEEP_MS);
        let cleared = self.suspects.expire(now_ms, is_list_current);
        self.update_local(now_ms);
        cleared
    }
}

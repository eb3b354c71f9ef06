use std::collections::HashMap;
use std::collections::HashSet;

use crate::poison::ReplicaRun;
use crate::poison::run::is_weighing;
use crate::schema::SuspectedRun;

/// how long a run that no longer weighs is remembered: its replica may still end under it.
const SETTLED_KEEP_MS: u64 = 60_000;

/// what a door has reported ledger nodes of its unanswered runs.
#[derive(Debug, Default)]
pub struct ReportedRuns {
    /// by the key of the run.
    runs: HashMap<String, Reported>,
}

#[derive(Debug)]
struct Reported {
    run: ReplicaRun,
    changes: u64,
    changed_ms: u64,
}

impl ReportedRuns {
    /// compares what was reported with the runs that weigh now; returns the changes.
    pub fn update<'a>(
        &mut self,
        now_ms: u64,
        weighing: impl Iterator<Item = &'a ReplicaRun>,
    ) -> Vec<SuspectedRun> {
        let mut changed = Vec::new();
        let mut keys = HashSet::new();
        for run in weighing {
            let key = run.key();
            let reported = self.runs.entry(key.clone()).or_insert_with(|| Reported::new(run, 0));
            keys.insert(key);
            if !is_weighing(reported.changes) {
                changed.push(reported.change(now_ms));
            }
        }
        self.runs.retain(|key, reported| {
            if is_weighing(reported.changes) && !keys.contains(key) {
                changed.push(reported.change(now_ms));
            }
            is_weighing(reported.changes) || now_ms < reported.changed_ms + SETTLED_KEEP_MS
        });
        changed
    }

    /// takes over a run that another door has reported and cannot settle any more; `false` if it is known.
    pub fn adopt(&mut self, run: &SuspectedRun) -> bool {
        let adopted = ReplicaRun::from(run);
        let key = adopted.key();
        if self.runs.contains_key(&key) {
            return false;
        }
        self.runs.insert(key, Reported::new(&adopted, run.changes));
        true
    }

    /// forgets a run that this door no longer watches; it keeps the weight that was reported last.
    pub fn forget(&mut self, run: &ReplicaRun) {
        self.runs.remove(&run.key());
    }

    /// times that a run has changed, as far as this door has reported or taken over; 0 for others.
    pub fn changes(&self, run: &ReplicaRun) -> u64 {
        self.runs.get(&run.key()).map_or(0, |reported| reported.changes)
    }
}

impl Reported {
    fn new(run: &ReplicaRun, changes: u64) -> Self {
        Self { run: run.clone(), changes, changed_ms: 0 }
    }

    fn change(&mut self, now_ms: u64) -> SuspectedRun {
        self.changes += 1;
        self.changed_ms = now_ms;
        self.run.to_suspected(self.changes)
    }
}

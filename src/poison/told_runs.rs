use std::collections::HashMap;
use std::collections::HashSet;

use crate::poison::ReplicaRun;
use crate::poison::run::is_weighing;
use crate::schema::SuspectedRun;

/// how long a run that no longer weighs is remembered: its replica may still end under it.
const SETTLED_KEEP_MS: u64 = 60_000;

/// what a door has told ledger nodes of its unanswered runs.
#[derive(Debug, Default)]
pub struct ToldRuns {
    /// by victim.
    runs: HashMap<String, Told>,
}

#[derive(Debug)]
struct Told {
    run: ReplicaRun,
    changes: u64,
    changed_ms: u64,
}

impl ToldRuns {
    /// compares what was told with the runs that weigh now; returns the changes.
    pub fn update<'a>(
        &mut self,
        now_ms: u64,
        weighing: impl Iterator<Item = &'a ReplicaRun>,
    ) -> Vec<SuspectedRun> {
        let mut changed = Vec::new();
        let mut victims = HashSet::new();
        for run in weighing {
            let victim = run.victim();
            let told = self.runs.entry(victim.clone()).or_insert_with(|| Told::new(run, 0));
            victims.insert(victim);
            if !is_weighing(told.changes) {
                changed.push(told.change(now_ms));
            }
        }
        self.runs.retain(|victim, told| {
            if is_weighing(told.changes) && !victims.contains(victim) {
                changed.push(told.change(now_ms));
            }
            is_weighing(told.changes) || now_ms < told.changed_ms + SETTLED_KEEP_MS
        });
        changed
    }

    /// takes over a run that another door has told and cannot settle any more; `false` if it is known.
    pub fn adopt(&mut self, run: &SuspectedRun) -> bool {
        let adopted = ReplicaRun::from(run);
        let victim = adopted.victim();
        if self.runs.contains_key(&victim) {
            return false;
        }
        self.runs.insert(victim, Told::new(&adopted, run.changes));
        true
    }

    /// forgets a run that this door no longer watches; it keeps the weight that was told last.
    pub fn forget(&mut self, run: &ReplicaRun) {
        self.runs.remove(&run.victim());
    }

    /// times that a run has changed, as far as this door has told or taken over; 0 for others.
    pub fn changes(&self, victim: &str) -> u64 {
        self.runs.get(victim).map_or(0, |told| told.changes)
    }
}

impl Told {
    fn new(run: &ReplicaRun, changes: u64) -> Self {
        Self { run: run.clone(), changes, changed_ms: 0 }
    }

    fn change(&mut self, now_ms: u64) -> SuspectedRun {
        self.changes += 1;
        self.changed_ms = now_ms;
        self.run.to_suspected(self.changes)
    }
}

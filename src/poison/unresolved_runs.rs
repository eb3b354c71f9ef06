use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::poison::ReplicaRun;
use crate::poison::run::is_weighing;
use crate::schema::SuspectedRun;

/// how long a run is kept after its last change: as long as a victim.
const RETENTION_MS: u64 = 600_000;
/// limit of runs; beyond it, the oldest is evicted, those that do not weigh first.
const MAX_RUNS: usize = 20_000;
/// runs that are evicted at once, as finding them takes a pass over all.
const EVICTED_RUNS: usize = 1_000;

/// unanswered runs of all doors, as one ledger node stores them. Merging is idempotent and commutative: of two
/// records of a run, the one with more changes counts.
#[derive(Debug, Default)]
pub struct UnresolvedRuns {
    /// by content, then by victim.
    contents: HashMap<String, BTreeMap<String, Row>>,
    len: usize,
}

#[derive(Debug)]
struct Row {
    run: SuspectedRun,
    number: u64,
    changed_ms: u64,
}

/// result of merging a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunMerge {
    /// it was known.
    Unchanged,
    /// it is a new run.
    Added,
    /// it changed the record with this change number.
    Changed(u64),
}

impl UnresolvedRuns {
    /// merges a run, which gets the change number `number` if anything changes.
    pub fn merge(&mut self, now_ms: u64, run: &SuspectedRun, number: u64) -> RunMerge {
        let victim = ReplicaRun::from(run).victim();
        let rows = self.contents.entry(run.content.clone()).or_default();
        let new = Row { run: run.clone(), number, changed_ms: now_ms };
        match rows.get_mut(&victim) {
            None => {
                rows.insert(victim, new);
                self.len += 1;
                RunMerge::Added
            }
            Some(row) if row.run.changes >= run.changes => RunMerge::Unchanged,
            Some(row) => RunMerge::Changed(std::mem::replace(row, new).number),
        }
    }

    /// a stored run.
    pub fn get(&self, content: &str, victim: &str) -> Option<&SuspectedRun> {
        self.contents.get(content)?.get(victim).map(|row| &row.run)
    }

    /// victims of a content whose runs weigh.
    pub fn weighing(&self, content: &str) -> impl Iterator<Item = &str> {
        let rows = self.contents.get(content).into_iter().flatten();
        rows.filter(|(_, row)| is_weighing(row.run.changes)).map(|(victim, _)| victim.as_str())
    }

    /// gives all runs of a content new change numbers; returns the previous and the new one of each, and its victim.
    pub fn renumber(&mut self, content: &str, next_number: &mut u64) -> Vec<(u64, u64, String)> {
        let mut renumbered = Vec::new();
        for (victim, row) in self.contents.get_mut(content).into_iter().flatten() {
            *next_number += 1;
            renumbered.push((std::mem::replace(&mut row.number, *next_number), *next_number, victim.clone()));
        }
        renumbered
    }

    /// removes runs whose retention has ended or that there is no room for; returns their contents and numbers.
    pub fn expire(&mut self, now_ms: u64) -> Vec<(String, u64)> {
        let mut removed = self.remove(|row| now_ms >= row.changed_ms + RETENTION_MS);
        if self.len > MAX_RUNS {
            let rows = self.contents.values().flat_map(BTreeMap::values);
            let mut order: Vec<(bool, u64)> = rows.map(Row::eviction_rank).collect();
            order.sort_unstable();
            let last = order[self.len - MAX_RUNS + EVICTED_RUNS];
            removed.extend(self.remove(|row| row.eviction_rank() < last));
        }
        removed
    }

    fn remove(&mut self, is_removed: impl Fn(&Row) -> bool) -> Vec<(String, u64)> {
        let mut removed = Vec::new();
        self.contents.retain(|content, rows| {
            let gone = rows.extract_if(.., |_, row| is_removed(row));
            removed.extend(gone.map(|(_, row)| (content.clone(), row.number)));
            !rows.is_empty()
        });
        self.len -= removed.len();
        removed
    }

    /// stored runs, those that no longer weigh included.
    pub fn len(&self) -> usize {
        self.len
    }

    /// whether no run is stored.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

impl Row {
    /// runs with the lowest rank are evicted first.
    fn eviction_rank(&self) -> (bool, u64) {
        (is_weighing(self.run.changes), self.number)
    }
}

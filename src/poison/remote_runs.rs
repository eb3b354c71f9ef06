use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::poison::ReplicaRun;
use crate::poison::run::is_weighing;
use crate::schema::SuspectedRun;

/// how long a run counts after a ledger node has told it: as long as a victim.
const RETENTION_MS: u64 = 600_000;

/// unanswered runs of all doors that ledger nodes have told this door. Of two reports of a run, the one with more
/// changes counts.
#[derive(Debug, Default)]
pub struct RemoteRuns {
    /// by content, then by victim.
    contents: HashMap<String, BTreeMap<String, Row>>,
}

#[derive(Debug)]
struct Row {
    run: SuspectedRun,
    told_ms: u64,
}

impl RemoteRuns {
    /// adds a run that a ledger node told; `true` if it is news.
    pub fn add(&mut self, now_ms: u64, run: &SuspectedRun) -> bool {
        let rows = self.contents.entry(run.content.clone()).or_default();
        let victim = ReplicaRun::from(run).victim();
        if rows.get(&victim).is_some_and(|row| row.run.changes >= run.changes) {
            return false;
        }
        rows.insert(victim, Row { run: run.clone(), told_ms: now_ms });
        true
    }

    /// runs of a content that weigh, by victim.
    pub fn weighing(&self, content: &str) -> impl Iterator<Item = (&str, &SuspectedRun)> {
        let rows = self.contents.get(content).into_iter().flatten();
        let weighing = rows.filter(|(_, row)| is_weighing(row.run.changes));
        weighing.map(|(victim, row)| (victim.as_str(), &row.run))
    }

    /// drops runs whose retention has ended.
    pub fn expire(&mut self, now_ms: u64) {
        self.contents.retain(|_, rows| {
            rows.retain(|_, row| now_ms < row.told_ms + RETENTION_MS);
            !rows.is_empty()
        });
    }

    /// whether no run is known.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }
}

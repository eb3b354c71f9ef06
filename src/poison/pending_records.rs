use std::collections::BTreeSet;

use crate::poison::ReplicaRun;
use crate::schema::LedgerStrikes;
use crate::schema::PoisonStrike;
use crate::schema::SuspectedRun;

/// limit of pending records; beyond it, the one that most nodes have stored is dropped.
const MAX_PENDING: usize = 4_096;
/// records in one request to a node; the rest follows with the next one.
const MAX_BATCH: usize = 256;

/// strikes and unanswered runs of this door that not all ledger nodes have stored.
#[derive(Debug, Default)]
pub struct PendingRecords {
    /// oldest first.
    rows: Vec<Row>,
    /// nodes with a request in flight.
    in_flight: BTreeSet<String>,
    /// epoch of the view whose members are asked. A member of another view may have lost its disk since.
    epoch: u64,
    dropped: u64,
}

#[derive(Debug)]
struct Row {
    record: PoisonRecord,
    stored_at: BTreeSet<String>,
}

#[derive(Clone, Debug, PartialEq)]
enum PoisonRecord {
    Strike(PoisonStrike),
    Run(SuspectedRun),
}

impl PoisonRecord {
    fn victim(&self) -> String {
        match self {
            Self::Strike(strike) => strike.victim.clone(),
            Self::Run(run) => ReplicaRun::from(run).victim(),
        }
    }
}

/// whether two records are about one run.
fn is_same_run(first: &SuspectedRun, second: &SuspectedRun) -> bool {
    first.request == second.request
        && first.replica == second.replica
        && first.replica_started == second.replica_started
        && first.content == second.content
}

impl PendingRecords {
    /// adds a strike that no ledger node has stored.
    pub fn add_strike(&mut self, strike: PoisonStrike) {
        self.add(PoisonRecord::Strike(strike));
    }

    /// adds what has changed of a run, in place of an earlier change of it.
    pub fn add_run(&mut self, run: SuspectedRun) {
        self.rows.retain(|row| match &row.record {
            PoisonRecord::Run(known) => !is_same_run(known, &run),
            PoisonRecord::Strike(_) => true,
        });
        self.add(PoisonRecord::Run(run));
    }

    fn add(&mut self, record: PoisonRecord) {
        if self.rows.len() >= MAX_PENDING {
            let most_stored = self.rows.iter().map(|row| row.stored_at.len()).max().unwrap_or(0);
            if let Some(index) = self.rows.iter().position(|row| row.stored_at.len() == most_stored) {
                self.rows.remove(index);
                self.dropped += 1;
            }
        }
        self.rows.push(Row { record, stored_at: BTreeSet::new() });
    }

    /// records that were dropped for lack of room since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// strikes that some node has not stored, oldest first.
    pub fn strikes(&self) -> impl Iterator<Item = &PoisonStrike> {
        self.rows.iter().filter_map(|row| match &row.record {
            PoisonRecord::Strike(strike) => Some(strike),
            PoisonRecord::Run(_) => None,
        })
    }

    /// runs of which no node has stored a record.
    pub fn unreported_count(&self) -> usize {
        let unstored = self.rows.iter().filter(|row| row.stored_at.is_empty());
        unstored.map(|row| row.record.victim()).collect::<BTreeSet<String>>().len()
    }

    /// records to send to a node now; `None` while a request to it is in flight or it has stored all.
    pub fn next_batch(&mut self, epoch: u64, node: &str) -> Option<LedgerStrikes> {
        self.set_epoch(epoch);
        if self.in_flight.contains(node) {
            return None;
        }
        let mut batch = LedgerStrikes { strikes: Vec::new(), runs: Vec::new() };
        for row in self.rows.iter().filter(|row| !row.stored_at.contains(node)).take(MAX_BATCH) {
            match &row.record {
                PoisonRecord::Strike(strike) => batch.strikes.push(strike.clone()),
                PoisonRecord::Run(run) => batch.runs.push(run.clone()),
            }
        }
        if batch.strikes.is_empty() && batch.runs.is_empty() {
            return None;
        }
        self.in_flight.insert(node.to_owned());
        Some(batch)
    }

    /// handles a node's confirmation that a batch is on its disk; drops records that `copies` nodes of one view have
    /// stored.
    pub fn acknowledge(&mut self, epoch: u64, node: &str, batch: &LedgerStrikes, copies: usize) {
        if epoch != self.epoch {
            return;
        }
        self.in_flight.remove(node);
        for row in &mut self.rows {
            let is_stored = match &row.record {
                PoisonRecord::Strike(strike) => batch.strikes.contains(strike),
                PoisonRecord::Run(run) => batch.runs.contains(run),
            };
            if is_stored {
                row.stored_at.insert(node.to_owned());
            }
        }
        self.rows.retain(|row| row.stored_at.len() < copies);
    }

    /// handles a failed request to a node, so that the next batch repeats it.
    pub fn request_failed(&mut self, epoch: u64, node: &str) {
        if epoch == self.epoch {
            self.in_flight.remove(node);
        }
    }

    fn set_epoch(&mut self, epoch: u64) {
        if epoch == self.epoch {
            return;
        }
        self.epoch = epoch;
        self.in_flight.clear();
        for row in &mut self.rows {
            row.stored_at.clear();
        }
    }

    /// whether no record is pending.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

use std::collections::BTreeMap;

use crate::schema::DoorReport;
use crate::schema::SuspectedRun;

/// time without a report after which a door counts as ended: longer than one that is busy or cut off is silent.
const ENDED_AFTER_MS: u64 = 10_000;

/// runs that doors have in flight, as one ledger node knows them; those of a door that ends are orphaned.
#[derive(Debug, Default)]
pub struct InFlightRuns {
    /// by name of the door.
    doors: BTreeMap<String, Row>,
}

#[derive(Debug)]
struct Row {
    /// start of the door's process.
    started: String,
    runs: Vec<SuspectedRun>,
    reported_ms: u64,
}

impl InFlightRuns {
    /// replaces the runs of a door by those in its report; returns those of an earlier start of it.
    pub fn report(&mut self, now_ms: u64, report: &DoorReport) -> Vec<SuspectedRun> {
        let row =
            Row { started: report.started.clone(), runs: report.unresolved.clone(), reported_ms: now_ms };
        match self.doors.insert(report.name.clone(), row) {
            Some(previous) if previous.started != report.started => previous.runs,
            Some(_) | None => Vec::new(),
        }
    }

    /// forgets doors that stopped reporting; returns their runs.
    pub fn expire(&mut self, now_ms: u64) -> Vec<SuspectedRun> {
        let ended = self.doors.extract_if(.., |_, row| now_ms >= row.reported_ms + ENDED_AFTER_MS);
        ended.flat_map(|(_, row)| row.runs).collect()
    }
}

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::poison::HOLD_THRESHOLD;
use crate::poison::Strikes;
use crate::schema::DoorReport;
use crate::schema::PoisonStrike;

/// how long the runs of a door that stopped reporting are kept: as long as a victim weighs, since nobody is
/// left to clear them.
const RETENTION_MS: u64 = 600_000;

/// runs with an unknown outcome of all doors, as one ledger node knows them.
#[derive(Debug, Default)]
pub struct UnresolvedRuns {
    /// by the start of a door: a door that restarts does not know its earlier runs.
    doors: BTreeMap<DoorStart, Row>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DoorStart {
    name: String,
    started: String,
}

#[derive(Debug)]
struct Row {
    runs: Vec<PoisonStrike>,
    reported_ms: u64,
}

impl UnresolvedRuns {
    /// replaces the runs of a door by those in its report.
    pub fn report(&mut self, now_ms: u64, report: &DoorReport) {
        let door = DoorStart::from(report);
        if report.unresolved.is_empty() {
            self.doors.remove(&door);
            return;
        }
        self.doors.insert(door, Row { runs: report.unresolved.clone(), reported_ms: now_ms });
    }

    /// forgets the runs of doors that stopped reporting long ago.
    pub fn expire(&mut self, now_ms: u64) {
        self.doors.retain(|_, row| now_ms < row.reported_ms + RETENTION_MS);
    }

    /// runs of other doors that a door needs to know: those of contents that reach the threshold with their
    /// victims, if all of the replicas have ended.
    pub fn for_door(&self, report: &DoorReport, strikes: &Strikes) -> Vec<PoisonStrike> {
        let mut victims: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for run in self.doors.values().flat_map(|row| &row.runs) {
            let known =
                victims.entry(&run.content).or_insert_with(|| strikes.victims(&run.content).collect());
            known.insert(&run.victim);
        }
        let requester = DoorStart::from(report);
        let others = self.doors.iter().filter(|(door, _)| **door != requester);
        let runs = others.flat_map(|(_, row)| &row.runs);
        runs.filter(|run| victims[run.content.as_str()].len() >= HOLD_THRESHOLD).cloned().collect()
    }
}

impl From<&DoorReport> for DoorStart {
    fn from(report: &DoorReport) -> Self {
        Self { name: report.name.clone(), started: report.started.clone() }
    }
}

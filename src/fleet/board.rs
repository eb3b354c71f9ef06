use std::collections::BTreeMap;

use crate::schema::DoorReport;
use crate::schema::DoorRow;
use crate::schema::FleetNews;
use crate::schema::LeavingReplica;
use crate::schema::ReplicaUse;
use crate::schema::StrikesMark;

/// silence after which a door's load no longer counts and the door is not named any more.
///
/// Several reports may be lost before; callers that try a door in vain go to the next one within a second.
const DOOR_KEEP_MS: u64 = 3_000;

/// the doors as one ledger node knows them by their reports.
#[derive(Debug, Default)]
pub struct Board {
    doors: BTreeMap<String, Row>,
}

#[derive(Debug)]
struct Row {
    report: DoorReport,
    heard_ms: u64,
}

impl Board {
    /// takes a report and answers with what is known of the other doors.
    pub fn report(&mut self, now_ms: u64, report: &DoorReport) -> FleetNews {
        let row = Row { report: report.clone(), heard_ms: now_ms };
        self.doors.insert(report.name.clone(), row);
        let mut news = FleetNews::empty();
        if report.wants_fleet {
            self.tell_fleet(now_ms, &report.name, &mut news);
        }
        news
    }

    /// forgets doors that are gone.
    pub fn expire(&mut self, now_ms: u64) {
        self.doors.retain(|_, row| now_ms < row.heard_ms + DOOR_KEEP_MS);
    }

    /// what is known of all doors, of replicas that leave, and of the loads through others than the one that asks.
    fn tell_fleet(&self, now_ms: u64, asker: &str, news: &mut FleetNews) {
        let mut running: BTreeMap<&str, u32> = BTreeMap::new();
        for row in self.doors.values().filter(|row| now_ms < row.heard_ms + DOOR_KEEP_MS) {
            let report = &row.report;
            news.doors.push(DoorRow {
                callers: report.callers.clone(),
                ready: report.ready,
                age_ms: now_ms - row.heard_ms,
            });
            if report.name == asker {
                continue;
            }
            for load in &report.loads {
                *running.entry(&load.replica).or_default() += load.running;
            }
            news.leaving.extend(report.leaving.iter().map(|leaving| LeavingReplica {
                age_ms: leaving.age_ms + (now_ms - row.heard_ms),
                ..leaving.clone()
            }));
        }
        let loads = running.into_iter();
        news.loads =
            loads.map(|(replica, running)| ReplicaUse { replica: replica.to_owned(), running }).collect();
        news.tells_fleet = true;
    }
}

impl FleetNews {
    /// news of nothing.
    fn empty() -> Self {
        Self {
            complete: false,
            tells_fleet: false,
            doors: Vec::new(),
            loads: Vec::new(),
            strikes: Vec::new(),
            leaving: Vec::new(),
            strikes_mark: StrikesMark { start: String::new(), number: 0 },
            mirrors: Vec::new(),
        }
    }
}

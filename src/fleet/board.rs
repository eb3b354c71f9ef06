use std::collections::BTreeMap;

use crate::schema::DoorReport;
use crate::schema::DoorRow;
use crate::schema::DoorsMark;
use crate::schema::FleetNews;
use crate::schema::LeavingReplica;
use crate::schema::ReplicaUse;
use crate::schema::StrikesMark;

/// silence after which a door's load no longer counts.
///
/// Several reports may be lost before; callers that try a door in vain go to the next one within a second.
const DOOR_KEEP_MS: u64 = 3_000;
/// silence after which a door is not named to callers any more: three reports that were missed.
const SILENT_AFTER_MS: u64 = 900;
/// time between two looks for doors that have fallen silent: a fraction of the silence that counts.
const LOOK_EVERY_MS: u64 = 100;
/// how long a silent door is remembered, so that doors that lag behind hear of its silence.
const FORGET_SILENT_MS: u64 = 60_000;

/// the doors as one ledger node knows them by their reports, numbered so that each door gets only what changed.
#[derive(Debug, Default)]
pub struct Board {
    /// names this start of the node; numbers of different starts are not comparable.
    start: String,
    doors: BTreeMap<String, Row>,
    /// what doors are told of each other, by the address for callers.
    told: BTreeMap<String, Told>,
    number: u64,
    looked_ms: u64,
}

#[derive(Debug)]
struct Row {
    report: DoorReport,
    heard_ms: u64,
}

#[derive(Debug)]
struct Told {
    row: DoorRow,
    number: u64,
    changed_ms: u64,
}

impl Board {
    /// knows no door; `start` names this start of the node.
    pub fn new(start: &str) -> Self {
        Self { start: start.to_owned(), ..Self::default() }
    }

    /// takes a report and answers with what is known of the other doors.
    pub fn report(&mut self, now_ms: u64, report: &DoorReport) -> FleetNews {
        self.tell(now_ms, door_row(report, false));
        let row = Row { report: report.clone(), heard_ms: now_ms };
        self.doors.insert(report.name.clone(), row);
        self.look_for_silent(now_ms);
        let mut news = FleetNews::empty();
        if report.wants_fleet {
            self.tell_fleet(now_ms, report, &mut news);
        }
        news
    }

    /// forgets doors that are gone.
    pub fn expire(&mut self, now_ms: u64) {
        self.look_for_silent(now_ms);
        self.doors.retain(|_, row| now_ms < row.heard_ms + DOOR_KEEP_MS);
        self.told.retain(|_, told| !told.row.silent || now_ms < told.changed_ms + FORGET_SILENT_MS);
    }

    fn look_for_silent(&mut self, now_ms: u64) {
        if now_ms < self.looked_ms + LOOK_EVERY_MS {
            return;
        }
        self.looked_ms = now_ms;
        let silent = self.doors.values().filter(|row| now_ms >= row.heard_ms + SILENT_AFTER_MS);
        let silent: Vec<DoorRow> = silent.map(|row| door_row(&row.report, true)).collect();
        for row in silent {
            self.tell(now_ms, row);
        }
    }

    fn tell(&mut self, now_ms: u64, row: DoorRow) {
        if self.told.get(&row.callers).is_some_and(|told| told.row == row) {
            return;
        }
        self.number += 1;
        self.told.insert(row.callers.clone(), Told { row, number: self.number, changed_ms: now_ms });
    }

    /// what the asking door does not know of the others: the doors that changed, replicas that leave, and the loads
    /// through others.
    fn tell_fleet(&self, now_ms: u64, asker: &DoorReport, news: &mut FleetNews) {
        let mark = asker.doors_mark.as_ref();
        let known = mark.filter(|mark| mark.start == self.start && mark.number <= self.number);
        let after = known.map_or(0, |mark| mark.number);
        let changed = self.told.values().filter(|told| told.number > after);
        news.doors = changed.map(|told| told.row.clone()).collect();
        news.names_all_doors = known.is_none();
        news.doors_mark = Some(DoorsMark { start: self.start.clone(), number: self.number });
        let mut running: BTreeMap<&str, u32> = BTreeMap::new();
        for row in self.doors.values().filter(|row| now_ms < row.heard_ms + DOOR_KEEP_MS) {
            let report = &row.report;
            if report.name == asker.name {
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

fn door_row(report: &DoorReport, silent: bool) -> DoorRow {
    DoorRow { callers: report.callers.clone(), zone: report.zone.clone(), ready: report.ready, silent }
}

impl FleetNews {
    /// news of nothing.
    fn empty() -> Self {
        Self {
            complete: false,
            tells_fleet: false,
            doors: Vec::new(),
            doors_mark: None,
            names_all_doors: false,
            loads: Vec::new(),
            strikes: Vec::new(),
            leaving: Vec::new(),
            strikes_mark: StrikesMark { start: String::new(), number: 0 },
            mirrors: Vec::new(),
        }
    }
}

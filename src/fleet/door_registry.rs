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
/// replicas whose loads a door is told of: the busiest ones, as only those are left out or compared for being busy. A
/// fleet has thousands, and loads are told several times a second.
const MOST_LOADS: usize = 128;
/// silence after which a door is not named to callers any more: three reports that were missed.
const SILENT_AFTER_MS: u64 = 900;
/// time between two looks for doors that have fallen silent: a fraction of the silence that counts.
const LOOK_EVERY_MS: u64 = 100;
/// how long a silent door is remembered, so that doors that lag behind hear of its silence.
const FORGET_SILENT_MS: u64 = 60_000;

/// the doors as one ledger node knows them by their reports, numbered so that each door gets only what changed.
#[derive(Debug, Default)]
pub struct DoorRegistry {
    /// names this start of the node; numbers of different starts are not comparable.
    start: String,
    doors: BTreeMap<String, Row>,
    /// what doors are told of each other, by the address for callers.
    told: BTreeMap<String, Told>,
    number: u64,
    /// requests under way at each replica, through all doors.
    running: BTreeMap<String, u32>,
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

impl DoorRegistry {
    /// knows no door; `start` names this start of the node.
    pub fn new(start: &str) -> Self {
        Self { start: start.to_owned(), ..Self::default() }
    }

    /// takes a report and answers with what is known of the other doors.
    pub fn report(&mut self, now_ms: u64, report: &DoorReport) -> FleetNews {
        self.tell(now_ms, door_row(report, false));
        self.add_loads(&report.loads);
        let row = Row { report: report.clone(), heard_ms: now_ms };
        if let Some(previous) = self.doors.insert(report.name.clone(), row) {
            self.remove_loads(&previous.report.loads);
        }
        self.look(now_ms);
        let mut news = FleetNews::empty();
        if report.wants_fleet {
            self.tell_fleet(now_ms, report, &mut news);
        }
        news
    }

    /// forgets doors that are gone.
    pub fn expire(&mut self, now_ms: u64) {
        self.look(now_ms);
        self.told.retain(|_, told| !told.row.silent || now_ms < told.changed_ms + FORGET_SILENT_MS);
    }

    /// looks for doors that have fallen silent or are gone.
    fn look(&mut self, now_ms: u64) {
        if now_ms < self.looked_ms + LOOK_EVERY_MS {
            return;
        }
        self.looked_ms = now_ms;
        let silent = self.doors.values().filter(|row| now_ms >= row.heard_ms + SILENT_AFTER_MS);
        let silent: Vec<DoorRow> = silent.map(|row| door_row(&row.report, true)).collect();
        for row in silent {
            self.tell(now_ms, row);
        }
        let gone = self.doors.extract_if(.., |_, row| now_ms >= row.heard_ms + DOOR_KEEP_MS);
        for (_, row) in Vec::from_iter(gone) {
            self.remove_loads(&row.report.loads);
        }
    }

    fn add_loads(&mut self, loads: &[ReplicaUse]) {
        for load in loads {
            *self.running.entry(load.replica.clone()).or_default() += load.running;
        }
    }

    fn remove_loads(&mut self, loads: &[ReplicaUse]) {
        for load in loads {
            let Some(running) = self.running.get_mut(&load.replica) else {
                continue;
            };
            *running = running.saturating_sub(load.running);
            if *running == 0 {
                self.running.remove(&load.replica);
            }
        }
    }

    /// requests under way at the busiest replicas, through others than the door that asks.
    fn loads_of_others(&self, asker: &DoorReport) -> Vec<ReplicaUse> {
        let own: BTreeMap<&str, u32> =
            asker.loads.iter().map(|load| (load.replica.as_str(), load.running)).collect();
        let others = self.running.iter().map(|(replica, running)| {
            (replica, running.saturating_sub(own.get(replica.as_str()).copied().unwrap_or(0)))
        });
        let mut others: Vec<(&String, u32)> = others.filter(|(_, running)| *running > 0).collect();
        if others.len() > MOST_LOADS {
            others.sort_by_key(|(_, running)| std::cmp::Reverse(*running));
            others.truncate(MOST_LOADS);
        }
        others
            .into_iter()
            .map(|(replica, running)| ReplicaUse { replica: replica.clone(), running })
            .collect()
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
        news.loads = self.loads_of_others(asker);
        for row in self.doors.values().filter(|row| row.report.name != asker.name) {
            news.leaving.extend(row.report.leaving.iter().map(|leaving| LeavingReplica {
                age_ms: leaving.age_ms + (now_ms - row.heard_ms),
                ..leaving.clone()
            }));
        }
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

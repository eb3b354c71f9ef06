use std::collections::BTreeMap;

use crate::schema::DoorReport;
use crate::schema::DoorRow;
use crate::schema::DoorsMark;
use crate::schema::FleetNews;
use crate::schema::LeavingReplica;
use crate::schema::ReplicaUse;
use crate::schema::StrikesMark;

/// time without a report after which a door's load no longer counts.
///
/// Several reports may be lost before that; callers that cannot reach a door try the next one within a
/// second.
const LOAD_EXPIRY_MS: u64 = 3_000;
/// replicas whose loads are sent to a door: the busiest ones, as only high loads change its choice of a
/// replica. A fleet has thousands of replicas, and loads are sent several times a second.
const MAX_LOADS: usize = 128;
/// time without a report after which a door counts as silent and is no longer listed for callers: three
/// missed reports.
const SILENT_AFTER_MS: u64 = 900;
/// interval between checks for silent and expired doors: a fraction of `SILENT_AFTER_MS`.
const CHECK_EVERY_MS: u64 = 100;
/// how long a silent door is remembered, so that doors that lag behind still learn that it is silent.
const FORGET_SILENT_MS: u64 = 60_000;

/// the doors that report to one ledger node; changes are numbered, so that each door is sent only what
/// changed.
#[derive(Debug, Default)]
pub struct DoorRegistry {
    /// identifies this start of the node; numbers of different starts are not comparable.
    start: String,
    doors: BTreeMap<String, LastReport>,
    /// what doors are sent about each other, by the address for callers.
    published: BTreeMap<String, PublishedDoor>,
    /// number of the last change.
    number: u64,
    /// requests in flight at each replica, summed over all doors.
    running: BTreeMap<String, u32>,
    checked_ms: u64,
}

#[derive(Debug)]
struct LastReport {
    report: DoorReport,
    received_ms: u64,
}

#[derive(Debug)]
struct PublishedDoor {
    row: DoorRow,
    number: u64,
    changed_ms: u64,
}

impl DoorRegistry {
    /// an empty registry; `start` identifies this start of the node.
    pub fn new(start: &str) -> Self {
        Self { start: start.to_owned(), ..Self::default() }
    }

    /// records a door's report and returns what it does not know of the other doors; nothing unless it asked
    /// for that.
    pub fn report(&mut self, now_ms: u64, report: &DoorReport) -> FleetNews {
        self.publish(now_ms, door_row(report, false));
        self.add_loads(&report.loads);
        let row = LastReport { report: report.clone(), received_ms: now_ms };
        if let Some(previous) = self.doors.insert(report.name.clone(), row) {
            self.remove_loads(&previous.report.loads);
        }
        self.check_silence(now_ms);
        let mut news = FleetNews::empty();
        if report.wants_fleet {
            self.add_fleet(now_ms, report, &mut news);
        }
        news
    }

    /// drops the loads of doors that stopped reporting, and forgets doors that have been silent for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.check_silence(now_ms);
        self.published
            .retain(|_, published| !published.row.silent || now_ms < published.changed_ms + FORGET_SILENT_MS);
    }

    /// marks doors silent that missed their reports, and drops the loads of expired ones.
    fn check_silence(&mut self, now_ms: u64) {
        if now_ms < self.checked_ms + CHECK_EVERY_MS {
            return;
        }
        self.checked_ms = now_ms;
        let silent = self.doors.values().filter(|row| now_ms >= row.received_ms + SILENT_AFTER_MS);
        let silent: Vec<DoorRow> = silent.map(|row| door_row(&row.report, true)).collect();
        for row in silent {
            self.publish(now_ms, row);
        }
        let gone = self.doors.extract_if(.., |_, row| now_ms >= row.received_ms + LOAD_EXPIRY_MS);
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

    /// requests in flight at the busiest replicas, without those of the requesting door.
    fn loads_of_others(&self, requester: &DoorReport) -> Vec<ReplicaUse> {
        let own: BTreeMap<&str, u32> =
            requester.loads.iter().map(|load| (load.replica.as_str(), load.running)).collect();
        let others = self.running.iter().map(|(replica, running)| {
            (replica, running.saturating_sub(own.get(replica.as_str()).copied().unwrap_or(0)))
        });
        let mut others: Vec<(&String, u32)> = others.filter(|(_, running)| *running > 0).collect();
        if others.len() > MAX_LOADS {
            others.sort_by_key(|(_, running)| std::cmp::Reverse(*running));
            others.truncate(MAX_LOADS);
        }
        others
            .into_iter()
            .map(|(replica, running)| ReplicaUse { replica: replica.clone(), running })
            .collect()
    }

    fn publish(&mut self, now_ms: u64, row: DoorRow) {
        if self.published.get(&row.callers).is_some_and(|published| published.row == row) {
            return;
        }
        self.number += 1;
        self.published
            .insert(row.callers.clone(), PublishedDoor { row, number: self.number, changed_ms: now_ms });
    }

    /// fills in what the requesting door does not know: doors that changed since its mark, leaving replicas,
    /// and the loads of other doors.
    fn add_fleet(&self, now_ms: u64, requester: &DoorReport, news: &mut FleetNews) {
        let mark = requester.doors_mark.as_ref();
        let known = mark.filter(|mark| mark.start == self.start && mark.number <= self.number);
        let after = known.map_or(0, |mark| mark.number);
        let changed = self.published.values().filter(|published| published.number > after);
        news.doors = changed.map(|published| published.row.clone()).collect();
        news.names_all_doors = known.is_none();
        news.doors_mark = Some(DoorsMark { start: self.start.clone(), number: self.number });
        news.loads = self.loads_of_others(requester);
        for row in self.doors.values().filter(|row| row.report.name != requester.name) {
            news.leaving.extend(row.report.leaving.iter().map(|leaving| LeavingReplica {
                age_ms: leaving.age_ms + (now_ms - row.received_ms),
                ..leaving.clone()
            }));
        }
        news.tells_fleet = true;
    }
}

fn door_row(report: &DoorReport, silent: bool) -> DoorRow {
    DoorRow {
        callers: report.callers.clone(),
        zone: report.zone.clone(),
        ready: report.ready,
        silent,
        helper: report.helper.clone(),
    }
}

impl FleetNews {
    /// news without content.
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
            unresolved: Vec::new(),
            limits: Vec::new(),
            strikes_mark: StrikesMark { start: String::new(), number: 0 },
            mirrors: Vec::new(),
        }
    }
}

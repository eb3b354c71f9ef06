use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::schema::DoorReport;
use crate::schema::DoorRow;
use crate::schema::FleetNews;
use crate::schema::PoisonStrike;
use crate::schema::ReplicaUse;

/// silence after which a door's load no longer counts and the door is not named any more.
///
/// Several reports may be lost before; callers that try a door in vain go to the next one within a second.
const DOOR_KEEP_MS: u64 = 3_000;
/// replicas that may end under the same content before it is refused everywhere.
///
/// One may be chance, as replicas also crash by themselves; a third victim is one too many.
const STRIKES_TO_POISON: usize = 2;
/// how long a content stays refused after its last victim.
const POISON_KEEP_MS: u64 = 600_000;

/// the doors as one ledger node knows them by their reports.
#[derive(Debug, Default)]
pub struct Board {
    doors: BTreeMap<String, Row>,
    contents: HashMap<String, Content>,
}

#[derive(Debug)]
struct Row {
    report: DoorReport,
    heard_ms: u64,
}

#[derive(Debug)]
struct Content {
    strikes: BTreeSet<String>,
    last_ms: u64,
}

impl Board {
    /// takes a report and answers with what is known of the other doors.
    pub fn report(&mut self, now_ms: u64, report: &DoorReport) -> FleetNews {
        for strike in &report.strikes {
            self.strike(now_ms, strike);
        }
        let row = Row { report: report.clone(), heard_ms: now_ms };
        self.doors.insert(report.name.clone(), row);
        let mut news = FleetNews { poisoned: self.poisoned(), ..FleetNews::empty() };
        if report.wants_fleet {
            self.tell_fleet(now_ms, &report.name, &mut news);
        }
        news
    }

    /// forgets doors that are gone and contents whose time is over.
    pub fn expire(&mut self, now_ms: u64) {
        self.doors.retain(|_, row| now_ms < row.heard_ms + DOOR_KEEP_MS);
        self.contents.retain(|_, content| now_ms < content.last_ms + POISON_KEEP_MS);
    }

    /// replicas that ended under a content, as far as this node was told.
    pub fn victims(&self, content: &str) -> usize {
        self.contents.get(content).map_or(0, |content| content.strikes.len())
    }

    fn strike(&mut self, now_ms: u64, strike: &PoisonStrike) {
        let empty = || Content { strikes: BTreeSet::new(), last_ms: now_ms };
        let content = self.contents.entry(strike.content.clone()).or_insert_with(empty);
        content.strikes.insert(strike.victim.clone());
        content.last_ms = now_ms;
    }

    /// contents that ended several replicas.
    fn poisoned(&self) -> Vec<String> {
        let poisoned = self.contents.iter().filter(|(_, content)| content.strikes.len() >= STRIKES_TO_POISON);
        poisoned.map(|(digest, _)| digest.clone()).collect()
    }

    /// what is known of all doors, and of the loads through others than the one that asks.
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
            poisoned: Vec::new(),
            mirrors: Vec::new(),
        }
    }
}

//! replicas that announce in a response that they are leaving: no door may send them further requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use std::time::Duration;

use flamingostand::fleet::DoorRegistry;
use flamingostand::routing::Affinity;
use flamingostand::routing::PickCriteria;
use flamingostand::routing::ReplicaEntry;
use flamingostand::routing::ReplicaTable;
use flamingostand::schema::DoorReport;
use flamingostand::schema::LeavingReplica;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const CRITERIA: PickCriteria<'_> = PickCriteria {
    service: "models",
    version: None,
    zone: "zone-a",
    affinity: Affinity::None,
    max_wait: Duration::ZERO,
    has_waited: false,
};

fn entry(id: &str, started_unix_ms: u64) -> ReplicaEntry {
    ReplicaEntry {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "zone-a".to_owned(),
        version: "v1".to_owned(),
        slots: 6,
        leaving: false,
        started_unix_ms,
    }
}

fn leaving(id: &str, started_unix_ms: Option<u64>) -> LeavingReplica {
    LeavingReplica { replica: id.to_owned(), started_unix_ms, age_ms: 0 }
}

/// ids of the replicas that a table still chooses.
fn usable(table: &mut ReplicaTable, now_ms: u64) -> BTreeSet<String> {
    let mut usable = BTreeSet::new();
    let mut tried = Vec::new();
    while let Ok(pick) = table.pick(now_ms, &CRITERIA, &tried) {
        tried.push(pick.key);
        usable.insert(pick.id);
    }
    for key in tried {
        table.release(key);
    }
    usable
}

/// Guards against a replica that gets requests again because a stale list still contains it.
#[test]
fn stale_list_does_not_bring_back_a_leaving_replica() {
    let mut table = ReplicaTable::default();
    table.upsert(entry("a", 100));
    assert!(table.mark_leaving(0, &leaving("a", Some(100)), true));
    assert!(!table.mark_leaving(1, &leaving("a", Some(100)), true), "a repeated announcement is not new");
    assert!(usable(&mut table, 2).is_empty());
    table.upsert(entry("a", 100));
    assert!(usable(&mut table, 3).is_empty(), "the same entry was listed again");
    table.remove(4, "a", false);
    table.replace(5, vec![entry("a", 100)], false);
    assert!(usable(&mut table, 6).is_empty(), "a stale list contains it again");
    table.upsert(entry("a", 99));
    assert!(usable(&mut table, 7).is_empty(), "the listed start is an earlier one");
    table.upsert(entry("a", 101));
    assert_eq!(usable(&mut table, 8).len(), 1, "a later start is usable");
}

/// Guards against a replica that gets requests because its announcement arrived before its entry.
#[test]
fn announcement_may_precede_the_entry() {
    let mut table = ReplicaTable::default();
    table.mark_leaving(0, &leaving("a", None), true);
    table.upsert(entry("a", 100));
    assert!(usable(&mut table, 1).is_empty());
    table.upsert(entry("a", 200));
    assert_eq!(usable(&mut table, 2).len(), 1);
}

/// Guards against announcements that circulate between doors forever: a door reports only those it received
/// itself.
#[test]
fn doors_report_only_announcements_to_themselves() {
    let mut table = ReplicaTable::default();
    table.mark_leaving(0, &leaving("told", Some(1)), false);
    table.mark_leaving(0, &leaving("heard", Some(1)), true);
    let own = table.local_leaving(10);
    assert_eq!(own, [LeavingReplica { age_ms: 10, ..leaving("heard", Some(1)) }]);
    assert!(table.local_leaving(60_000).is_empty(), "the announcement is too old to be reported");
}

/// Guards against an announcement that does not reach the other doors, or reaches them with its age reset.
#[test]
fn ledger_nodes_forward_announcements() {
    let report = |name: &str, leaving: Vec<LeavingReplica>| DoorReport {
        name: name.to_owned(),
        zone: "zone-a".to_owned(),
        callers: format!("{name}:80"),
        ready: true,
        started: "s".to_owned(),
        loads: Vec::new(),
        strikes_mark: None,
        marks: Vec::new(),
        wants_fleet: true,
        doors_mark: None,
        helper: None,
        leaving,
        limits: Vec::new(),
        unresolved: Vec::new(),
    };
    let mut registry = DoorRegistry::default();
    registry.report(0, &report("a", vec![LeavingReplica { age_ms: 30, ..leaving("r", Some(1)) }]));
    let news = registry.report(200, &report("b", Vec::new()));
    assert_eq!(news.leaving, [LeavingReplica { age_ms: 230, ..leaving("r", Some(1)) }]);
    assert!(
        registry.report(200, &report("a", Vec::new())).leaving.is_empty(),
        "a door is not sent its own announcements"
    );
}

/// naive model: the entries, when they lapse, and the latest leaving start of each replica.
#[derive(Default)]
struct Model {
    listed: BTreeMap<String, Listed>,
    left: BTreeMap<String, u64>,
}

#[derive(Clone, Copy)]
struct Listed {
    started_unix_ms: u64,
    lapses_ms: Option<u64>,
}

impl Model {
    fn put(&mut self, id: &str, started_unix_ms: u64) {
        self.listed.insert(id.to_owned(), Listed { started_unix_ms, lapses_ms: None });
    }

    fn remove(&mut self, now_ms: u64, id: &str, after_outage: bool) {
        if !after_outage {
            self.listed.remove(id);
        } else if let Some(listed) = self.listed.get_mut(id) {
            listed.lapses_ms.get_or_insert(now_ms + GRACE_MS);
        }
    }

    fn usable(&mut self, now_ms: u64) -> BTreeSet<String> {
        self.listed.retain(|_, listed| listed.lapses_ms.is_none_or(|lapses_ms| now_ms < lapses_ms));
        let has_left =
            |id: &str, listed: &Listed| self.left.get(id).is_some_and(|left| listed.started_unix_ms <= *left);
        let usable = self.listed.iter().filter(|(id, listed)| !has_left(id, listed));
        usable.map(|(id, _)| id.clone()).collect()
    }
}

/// how long an entry that disappeared around an outage of the platform is still used.
const GRACE_MS: u64 = 2_000;

/// Guards against any order of announcements, entries, lapses, relistings and restarts in which a leaving
/// replica is used, or a new start is not.
#[test]
fn leaving_agrees_with_a_naive_model() {
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = ReplicaTable::default();
        let mut model = Model::default();
        let mut now_ms = 0;
        for step in 0..60 {
            now_ms += rng.random_range(1..1_500);
            let id = format!("r{}", rng.random_range(0..4));
            let started = rng.random_range(1..5);
            let after_outage = rng.random_range(0..2) == 0;
            match rng.random_range(0..5) {
                0 | 1 => {
                    table.upsert(entry(&id, started));
                    model.put(&id, started);
                }
                2 => {
                    table.mark_leaving(now_ms, &leaving(&id, Some(started)), rng.random_range(0..2) == 0);
                    let left = model.left.entry(id).or_default();
                    *left = started.max(*left);
                }
                3 => {
                    table.remove(now_ms, &id, after_outage);
                    model.remove(now_ms, &id, after_outage);
                }
                _ => replace(&mut rng, now_ms, after_outage, &mut table, &mut model),
            }
            table.expire(now_ms);
            assert_eq!(usable(&mut table, now_ms), model.usable(now_ms), "seed {seed}, step {step}");
        }
    }
}

/// replaces the list by some of the known replicas, each unchanged or with another start.
fn replace(rng: &mut StdRng, now_ms: u64, after_outage: bool, table: &mut ReplicaTable, model: &mut Model) {
    let known: Vec<(String, Listed)> =
        model.listed.iter().map(|(id, listed)| (id.clone(), *listed)).collect();
    let mut entries = Vec::new();
    for (id, listed) in known {
        match rng.random_range(0..4) {
            0 => model.remove(now_ms, &id, after_outage),
            1 => entries.push(entry(&id, rng.random_range(1..5))),
            _ => entries.push(entry(&id, listed.started_unix_ms)),
        }
    }
    for listed_entry in &entries {
        model.put(&listed_entry.id, listed_entry.started_unix_ms);
    }
    table.replace(now_ms, entries, after_outage);
}

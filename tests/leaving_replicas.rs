//! replicas that say in an answer that they leave, by what a door believes of them afterwards.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

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

const WANTED: PickCriteria<'_> = PickCriteria { service: "models", zone: "zone-a", affinity: Affinity::None };

fn entry(id: &str, started_unix_ms: u64) -> ReplicaEntry {
    ReplicaEntry {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "zone-a".to_owned(),
        slots: 6,
        leaving: false,
        started_unix_ms,
    }
}

fn leaving(id: &str, started_unix_ms: Option<u64>) -> LeavingReplica {
    LeavingReplica { replica: id.to_owned(), started_unix_ms, age_ms: 0 }
}

/// the replicas that a table would still send to.
fn usable(table: &mut ReplicaTable, now_ms: u64) -> BTreeSet<String> {
    let mut usable = BTreeSet::new();
    let mut tried = Vec::new();
    while let Some(pick) = table.pick(now_ms, &WANTED, &tried) {
        tried.push(pick.key);
        usable.insert(pick.id);
    }
    for key in tried {
        table.release(key);
    }
    usable
}

/// Guards against a replica that gets requests again because an old list still names it.
#[test]
fn old_list_brings_no_leaving_replica_back() {
    let mut table = ReplicaTable::default();
    table.upsert(entry("a", 100));
    assert!(table.mark_leaving(0, &leaving("a", Some(100)), true));
    assert!(!table.mark_leaving(1, &leaving("a", Some(100)), true), "it is no news twice");
    assert!(usable(&mut table, 2).is_empty());
    table.upsert(entry("a", 100));
    assert!(usable(&mut table, 3).is_empty(), "its row is written again");
    table.remove(4, "a", false);
    table.replace(5, vec![entry("a", 100)], false);
    assert!(usable(&mut table, 6).is_empty(), "an older list names it again");
    table.upsert(entry("a", 99));
    assert!(usable(&mut table, 7).is_empty(), "a start before that");
    table.upsert(entry("a", 101));
    assert_eq!(usable(&mut table, 8).len(), 1, "a later start is another life");
}

/// Guards against a replica that is used because it said that it leaves before its entry was known.
#[test]
fn answer_may_come_before_the_entry() {
    let mut table = ReplicaTable::default();
    table.mark_leaving(0, &leaving("a", None), true);
    table.upsert(entry("a", 100));
    assert!(usable(&mut table, 1).is_empty());
    table.upsert(entry("a", 200));
    assert_eq!(usable(&mut table, 2).len(), 1);
}

/// Guards against doors that tell each other the same for ever: a door tells only what replicas said to itself.
#[test]
fn doors_tell_only_what_they_heard() {
    let mut table = ReplicaTable::default();
    table.mark_leaving(0, &leaving("told", Some(1)), false);
    table.mark_leaving(0, &leaving("heard", Some(1)), true);
    let own = table.local_leaving(10);
    assert_eq!(own, [LeavingReplica { age_ms: 10, ..leaving("heard", Some(1)) }]);
    assert!(table.local_leaving(60_000).is_empty(), "not for ever");
}

/// Guards against a door that does not learn what another one has heard, or learns it as if it were new.
#[test]
fn ledger_nodes_tell_other_doors() {
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
        leaving,
    };
    let mut board = DoorRegistry::default();
    board.report(0, &report("a", vec![LeavingReplica { age_ms: 30, ..leaving("r", Some(1)) }]));
    let news = board.report(200, &report("b", Vec::new()));
    assert_eq!(news.leaving, [LeavingReplica { age_ms: 230, ..leaving("r", Some(1)) }]);
    assert!(board.report(200, &report("a", Vec::new())).leaving.is_empty(), "not what it said itself");
}

/// what must hold, kept plainly: the entries, when they lapse, and which starts said that they leave.
#[derive(Default)]
struct Reference {
    listed: BTreeMap<String, Listed>,
    left: BTreeMap<String, u64>,
}

#[derive(Clone, Copy)]
struct Listed {
    started_unix_ms: u64,
    lapses_ms: Option<u64>,
}

impl Reference {
    fn put(&mut self, id: &str, started_unix_ms: u64) {
        self.listed.insert(id.to_owned(), Listed { started_unix_ms, lapses_ms: None });
    }

    fn remove(&mut self, now_ms: u64, id: &str, after_outage: bool) {
        if !after_outage {
            self.listed.remove(id);
        } else if let Some(listed) = self.listed.get_mut(id) {
            listed.lapses_ms.get_or_insert(now_ms + LAPSE_MS);
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

/// time for which an entry is still used that vanished around an outage of the platform.
const LAPSE_MS: u64 = 2_000;

/// Guards against any order of answers, rows, lapses, returns and starts in which a leaving replica is used, or a new
/// start is not.
#[test]
fn leaving_agrees_with_a_plain_reference() {
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = ReplicaTable::default();
        let mut reference = Reference::default();
        let mut now_ms = 0;
        for step in 0..60 {
            now_ms += rng.random_range(1..1_500);
            let id = format!("r{}", rng.random_range(0..4));
            let started = rng.random_range(1..5);
            let after_outage = rng.random_range(0..2) == 0;
            match rng.random_range(0..5) {
                0 | 1 => {
                    table.upsert(entry(&id, started));
                    reference.put(&id, started);
                }
                2 => {
                    table.mark_leaving(now_ms, &leaving(&id, Some(started)), rng.random_range(0..2) == 0);
                    let left = reference.left.entry(id).or_default();
                    *left = started.max(*left);
                }
                3 => {
                    table.remove(now_ms, &id, after_outage);
                    reference.remove(now_ms, &id, after_outage);
                }
                _ => replace(&mut rng, now_ms, after_outage, &mut table, &mut reference),
            }
            table.expire(now_ms);
            assert_eq!(usable(&mut table, now_ms), reference.usable(now_ms), "seed {seed}, step {step}");
        }
    }
}

/// lists some of the known replicas anew, each as it was or with another start.
fn replace(
    rng: &mut StdRng,
    now_ms: u64,
    after_outage: bool,
    table: &mut ReplicaTable,
    reference: &mut Reference,
) {
    let known: Vec<(String, Listed)> =
        reference.listed.iter().map(|(id, listed)| (id.clone(), *listed)).collect();
    let mut rows = Vec::new();
    for (id, listed) in known {
        match rng.random_range(0..4) {
            0 => reference.remove(now_ms, &id, after_outage),
            1 => rows.push(entry(&id, rng.random_range(1..5))),
            _ => rows.push(entry(&id, listed.started_unix_ms)),
        }
    }
    for row in &rows {
        reference.put(&row.id, row.started_unix_ms);
    }
    table.replace(now_ms, rows, after_outage);
}

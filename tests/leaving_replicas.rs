//! replicas that say in an answer that they leave, by what a door believes of them afterwards.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use flamingostand::fleet::Board;
use flamingostand::routing::ReplicaEntry;
use flamingostand::routing::ReplicaTable;
use flamingostand::routing::Wanted;
use flamingostand::schema::DoorReport;
use flamingostand::schema::LeavingReplica;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const WANTED: Wanted<'_> = Wanted { service: "models", zone: "zone-a", affinity: None };

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
    table.put(entry("a", 100));
    assert!(table.hear_leaving(0, &leaving("a", Some(100)), true));
    assert!(!table.hear_leaving(1, &leaving("a", Some(100)), true), "it is no news twice");
    assert!(usable(&mut table, 2).is_empty());
    table.put(entry("a", 100));
    assert!(usable(&mut table, 3).is_empty(), "its row is written again");
    table.remove(4, "a", false);
    table.replace(5, vec![entry("a", 100)], false);
    assert!(usable(&mut table, 6).is_empty(), "an older list names it again");
    table.put(entry("a", 99));
    assert!(usable(&mut table, 7).is_empty(), "a start before that");
    table.put(entry("a", 101));
    assert_eq!(usable(&mut table, 8).len(), 1, "a later start is another life");
}

/// Guards against a replica that is used because it said that it leaves before its entry was known.
#[test]
fn answer_may_come_before_the_entry() {
    let mut table = ReplicaTable::default();
    table.hear_leaving(0, &leaving("a", None), true);
    table.put(entry("a", 100));
    assert!(usable(&mut table, 1).is_empty());
    table.put(entry("a", 200));
    assert_eq!(usable(&mut table, 2).len(), 1);
}

/// Guards against doors that tell each other the same for ever: a door tells only what replicas said to itself.
#[test]
fn doors_tell_only_what_they_heard() {
    let mut table = ReplicaTable::default();
    table.hear_leaving(0, &leaving("told", Some(1)), false);
    table.hear_leaving(0, &leaving("heard", Some(1)), true);
    let own = table.own_leaving(10);
    assert_eq!(own, [LeavingReplica { age_ms: 10, ..leaving("heard", Some(1)) }]);
    assert!(table.own_leaving(60_000).is_empty(), "not for ever");
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
        leaving,
    };
    let mut board = Board::default();
    board.report(0, &report("a", vec![LeavingReplica { age_ms: 30, ..leaving("r", Some(1)) }]));
    let news = board.report(200, &report("b", Vec::new()));
    assert_eq!(news.leaving, [LeavingReplica { age_ms: 230, ..leaving("r", Some(1)) }]);
    assert!(board.report(200, &report("a", Vec::new())).leaving.is_empty(), "not what it said itself");
}

/// what must hold, kept plainly: each start of a replica, and which starts said that they leave.
#[derive(Default)]
struct Reference {
    listed: BTreeMap<String, u64>,
    left: BTreeMap<String, u64>,
}

impl Reference {
    fn usable(&self) -> BTreeSet<String> {
        let is_usable =
            |(id, started): &(&String, &u64)| self.left.get(*id).is_none_or(|left| left < started);
        self.listed.iter().filter(is_usable).map(|(id, _)| id.clone()).collect()
    }
}

/// Guards against any order of answers, rows, lapses and starts in which a leaving replica is used, or a new start is not.
#[test]
fn leaving_agrees_with_a_plain_reference() {
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = ReplicaTable::default();
        let mut reference = Reference::default();
        for step in 0..60_u64 {
            let now_ms = step * 3_000;
            let id = format!("r{}", rng.random_range(0..4));
            let started = rng.random_range(1..5);
            match rng.random_range(0..5) {
                0 | 1 => {
                    table.put(entry(&id, started));
                    reference.listed.insert(id, started);
                }
                2 => {
                    table.hear_leaving(now_ms, &leaving(&id, Some(started)), rng.random_range(0..2) == 0);
                    let left = reference.left.entry(id).or_default();
                    *left = started.max(*left);
                }
                3 => {
                    table.remove(now_ms, &id, false);
                    reference.listed.remove(&id);
                }
                _ => {
                    let rows: Vec<ReplicaEntry> = reference
                        .listed
                        .iter()
                        .filter(|_| rng.random_range(0..3) > 0)
                        .map(|(id, started)| entry(id, *started))
                        .collect();
                    reference.listed = rows.iter().map(|row| (row.id.clone(), row.started_unix_ms)).collect();
                    table.replace(now_ms, rows, false);
                }
            }
            table.expire(now_ms);
            assert_eq!(usable(&mut table, now_ms), reference.usable(), "seed {seed}, step {step}");
        }
    }
}

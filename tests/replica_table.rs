//! replica choice by one door's table, which knows the door's own requests and reports of the others'.

use std::time::Duration;

use flamingostand::routing::Affinity;
use flamingostand::routing::NoPick;
use flamingostand::routing::Outcome;
use flamingostand::routing::PickCriteria;
use flamingostand::routing::ReplicaEntry;
use flamingostand::routing::ReplicaTable;
use flamingostand::schema::ReplicaUse;

fn entry(number: u16) -> ReplicaEntry {
    ReplicaEntry {
        id: format!("r{number}"),
        service: "models".to_owned(),
        address: ([10, 0, 0, 1], number).into(),
        zone: format!("zone-{}", number % 2),
        version: "v1".to_owned(),
        slots: 6,
        leaving: false,
        started_unix_ms: 1,
    }
}

fn table(count: u16) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    for number in 1..=count {
        table.upsert(entry(number));
    }
    table
}

fn criteria(affinity: Option<&str>) -> PickCriteria<'_> {
    let affinity = affinity.map_or(Affinity::None, Affinity::Key);
    PickCriteria {
        service: "models",
        version: None,
        zone: "zone-1",
        affinity,
        max_wait: Duration::ZERO,
        has_waited: false,
    }
}

#[test]
fn spreads_evenly() {
    let mut table = table(8);
    for _ in 0..48 {
        table.pick(0, &criteria(None), &[]).expect("a replica");
    }
    assert!(table.local_loads().iter().all(|load| load.running == 6), "{:?}", table.local_loads());
}

#[test]
fn replica_with_a_queue_of_other_doors_is_skipped() {
    let mut table = table(4);
    table.set_remote_loads(&[
        ReplicaUse { replica: "r1".to_owned(), running: 12 },
        ReplicaUse { replica: "r3".to_owned(), running: 13 },
    ]);
    for key in [None, Some("program")] {
        for _ in 0..8 {
            let pick = table.pick(0, &criteria(key), &[]).expect("a replica");
            assert!(["r2", "r4"].contains(&pick.id.as_str()), "{pick:?}");
        }
    }
}

#[test]
fn full_replica_backs_off_for_a_turn() {
    let mut table = table(2);
    let pick = table.pick(0, &criteria(Some("program")), &[]).expect("a replica");
    table.record_outcome(0, pick.key, Outcome::Full);
    table.release(pick.key);
    for now_ms in [1, 100, 200] {
        let other = table.pick(now_ms, &criteria(Some("program")), &[]).expect("a replica");
        table.release(other.key);
        assert_ne!(other.id, pick.id, "chosen {now_ms} ms after it reported that it is full");
    }
    let again = table.pick(1_000, &criteria(Some("program")), &[]).expect("a replica");
    assert_eq!(again.id, pick.id, "backoff should be over");
}

#[test]
fn overloaded_replica_is_better_than_none() {
    let mut table = table(1);
    table.set_remote_loads(&[ReplicaUse { replica: "r1".to_owned(), running: 24 }]);
    assert!(table.pick(0, &criteria(None), &[]).is_ok());
}

#[test]
fn program_keeps_its_replica_unless_it_would_wait() {
    let mut table = table(4);
    let first = table.pick(0, &criteria(Some("program")), &[]).expect("a replica");
    table.release(first.key);
    let again = table.pick(0, &criteria(Some("program")), &[]).expect("a replica");
    assert_eq!(first.id, again.id);
    table.set_remote_loads(&[ReplicaUse { replica: first.id.clone(), running: 6 }]);
    let moved = table.pick(0, &criteria(Some("program")), &[]).expect("a replica");
    assert_ne!(first.id, moved.id, "a cached prefix does not outweigh a queue");
}

#[test]
fn leaving_or_removed_replica_is_not_chosen() {
    let mut table = table(2);
    table.upsert(ReplicaEntry { leaving: true, ..entry(1) });
    assert_eq!(table.pick(0, &criteria(None), &[]).map(|pick| pick.id), Ok("r2".to_owned()));
    table.remove(0, "r2", false);
    assert_eq!(table.pick(0, &criteria(None), &[]), Err(NoPick::NoReplica));
}

#[test]
fn entry_lapsed_in_an_outage_has_a_grace_period() {
    let mut table = table(1);
    table.remove(1_000, "r1", true);
    assert!(table.pick(2_900, &criteria(None), &[]).is_ok(), "the grace period of two seconds is not over");
    table.expire(3_100);
    assert_eq!(table.pick(3_100, &criteria(None), &[]), Err(NoPick::NoReplica));
}

#[test]
fn failed_replica_backs_off() {
    let mut table = table(2);
    let pick = table.pick(0, &criteria(None), &[]).expect("a replica");
    table.record_outcome(0, pick.key, Outcome::ConnectionFailed);
    for _ in 0..4 {
        assert_ne!(table.pick(10, &criteria(None), &[]).expect("a replica").id, pick.id);
    }
    let other = table.pick(10, &criteria(None), &[]).expect("a replica");
    table.record_outcome(10, other.key, Outcome::ConnectionFailed);
    assert!(table.pick(20, &criteria(None), &[]).is_ok(), "a replica in backoff is better than none");
    assert_eq!(
        table.pick(20, &criteria(None), &[pick.key, other.key]),
        Err(NoPick::NoReplica),
        "replicas that were tried are avoided"
    );
}

/// Guards against a check of the way to the replicas that asks those of a dead service only.
#[test]
fn sample_has_replicas_of_each_service() {
    let mut table = table(20);
    table.upsert(ReplicaEntry { service: "tools".to_owned(), ..entry(21) });
    table.upsert(ReplicaEntry { service: "tools".to_owned(), leaving: true, ..entry(22) });
    for _ in 0..20 {
        let sample = table.sample(0, 4);
        assert_eq!(sample.len(), 4);
        assert_eq!(sample.iter().filter(|entry| entry.id == "r21").count(), 1, "{sample:?}");
        assert!(sample.iter().all(|entry| entry.id != "r22"), "{sample:?}");
    }
    assert_eq!(table.sample(0, 100).len(), 21);
}

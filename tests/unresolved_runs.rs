//! runs with an unknown outcome, as ledger nodes store them and pass them on between doors.

use flamingostand::fleet::InFlightRuns;
use flamingostand::ledger::RecordStore;
use flamingostand::poison::Hold;
use flamingostand::poison::LifeSign;
use flamingostand::poison::PoisonState;
use flamingostand::poison::ReplicaRun;
use flamingostand::poison::RunMerge;
use flamingostand::poison::UnansweredRun;
use flamingostand::poison::UnresolvedRuns;
use flamingostand::schema::DoorReport;
use flamingostand::schema::LedgerRecord;
use flamingostand::schema::SuspectedRun;

fn replica_run(request: &str) -> ReplicaRun {
    ReplicaRun {
        content: "x".to_owned(),
        request: request.to_owned(),
        replica: format!("replica-{request}"),
        started_unix_ms: 100,
    }
}

/// a run that weighs while `changes` is odd.
fn run(request: &str, changes: u64) -> SuspectedRun {
    replica_run(request).to_suspected(changes)
}

fn suspect(store: &mut RecordStore, run: SuspectedRun) -> bool {
    store.merge(0, &LedgerRecord::Suspected(run))
}

fn strike(store: &mut RecordStore, request: &str) {
    store.merge(0, &LedgerRecord::Struck(replica_run(request).to_strike()));
}

/// Guards against a content that each of several doors sends to the threshold of replicas.
#[test]
fn runs_of_all_doors_are_added_up() {
    let mut store = RecordStore::default();
    suspect(&mut store, run("1", 1));
    suspect(&mut store, run("2", 1));
    let before = store.poison_after(0);
    assert!(before.runs.is_empty(), "two are below the threshold");
    strike(&mut store, "3");
    let news = store.poison_after(before.last_number);
    assert_eq!(news.runs, [run("1", 1), run("2", 1)]);
    suspect(&mut store, run("1", 2));
    assert_eq!(store.poison_after(news.last_number).runs, [run("1", 2)], "doors learn that a run is cleared");
    assert_eq!(store.suspected_count(), 0);
}

/// Guards against counting a replica twice, as an unresolved run and as a strike.
#[test]
fn run_that_became_a_strike_counts_once() {
    let mut store = RecordStore::default();
    strike(&mut store, "1");
    suspect(&mut store, run("1", 1));
    suspect(&mut store, run("2", 1));
    assert_eq!(store.suspected_count(), 0);
}

/// Guards against forgetting the runs of a door that was killed and started again, or removed.
#[test]
fn in_flight_runs_of_an_ended_door_are_orphaned() {
    let mut in_flight = InFlightRuns::default();
    assert!(in_flight.report(0, &report("a", "1", &["1", "2"])).is_empty());
    assert!(in_flight.report(250, &report("b", "1", &["3"])).is_empty());
    assert!(in_flight.report(500, &report("a", "1", &["2"])).is_empty(), "a run that was answered");
    assert_eq!(in_flight.report(1_000, &report("a", "2", &[])), [run("2", 1)]);
    assert!(in_flight.expire(10_249).is_empty());
    assert_eq!(in_flight.expire(10_250), [run("3", 1)]);
    assert!(in_flight.report(20_000, &report("b", "2", &[])).is_empty(), "each is orphaned once");
}

/// Guards against runs that are forgotten when a node starts again or copies the records of another one.
#[test]
fn stored_runs_are_copied() {
    let mut store = RecordStore::default();
    for (request, changes) in [("1", 1), ("2", 1), ("3", 1), ("4", 1), ("4", 2)] {
        suspect(&mut store, run(request, changes));
    }
    let mut copy = RecordStore::default();
    let (records, _, _) = store.page(0);
    for record in records.iter().rev() {
        copy.merge(0, record);
    }
    assert_eq!((copy.run_count(), copy.suspected_count()), (4, 1));
    assert!(!suspect(&mut copy, run("4", 1)), "an older record of a run that was cleared");
}

/// Guards against a node whose memory many runs fill, and against evicting those that weigh first.
#[test]
fn stored_runs_are_bounded() {
    let mut runs = UnresolvedRuns::default();
    for number in 1..=40_000_u64 {
        let changes = if number <= 100 { 1 } else { 2 };
        assert_eq!(runs.merge(0, &run(&number.to_string(), changes), number), RunMerge::Added);
    }
    runs.expire(1);
    assert!(runs.len() <= 20_000, "{}", runs.len());
    assert_eq!(runs.weighing("x").count(), 100);
}

/// a door that a ledger node has told of three runs of other doors.
fn told_door() -> PoisonState {
    let mut door = PoisonState::default();
    door.add_remote(0, &[run("1", 1), run("2", 1), run("3", 1)]);
    assert_eq!(door.hold("x"), Some(Hold::Suspected));
    door
}

/// Guards against a content that stays held because the doors that could clear its runs have ended.
#[test]
fn door_clears_runs_that_others_orphaned() {
    let mut door = told_door();
    door.adopt_runs(1_000, "x");
    assert_eq!(door.runs_to_check().len(), 3);
    let sign = LifeSign { replica: "replica-2", started_unix_ms: 100, connected_ms: 1_500 };
    door.replica_answered(1_500, &sign);
    assert_eq!(door.hold("x"), Some(Hold::Suspected), "it may be the replica's next process");
    assert_eq!(door.expire(4_500, true), [replica_run("2")]);
    assert_eq!(door.hold("x"), None);
    let batch = door.pending.next_batch(1, "node").expect("the clearance is told");
    assert_eq!(batch.runs, [run("2", 2)]);
}

/// Guards against a run that a door goes on holding after another one has cleared it.
#[test]
fn door_learns_that_an_adopted_run_is_cleared() {
    let mut door = told_door();
    door.adopt_runs(1_000, "x");
    door.add_remote(2_000, &[run("3", 2)]);
    door.update_local(2_000);
    assert_eq!(door.hold("x"), None);
    door.add_remote(3_000, &[run("3", 1)]);
    assert_eq!(door.hold("x"), None, "a node that lags behind");
}

/// Guards against runs that nobody else is told of while there are many.
#[test]
fn each_run_is_told() {
    let mut door = PoisonState::default();
    for number in 0..1_000 {
        let run = ReplicaRun { content: format!("content-{number}"), ..replica_run(&number.to_string()) };
        door.suspect(0, UnansweredRun { run, begun_ms: 0, heard_ms: 0, is_silent: false });
    }
    assert_eq!(door.unresolved_counts(), (1_000, 1_000));
    let mut told = 0;
    while let Some(batch) = door.pending.next_batch(1, "node") {
        told += batch.runs.len();
        door.pending.acknowledge(1, "node", &batch, 1);
    }
    assert_eq!((told, door.unresolved_counts()), (1_000, (1_000, 0)));
}

fn report(door: &str, started: &str, requests: &[&str]) -> DoorReport {
    DoorReport {
        callers: String::new(),
        doors_mark: None,
        helper: None,
        leaving: Vec::new(),
        loads: Vec::new(),
        marks: Vec::new(),
        name: door.to_owned(),
        ready: true,
        started: started.to_owned(),
        strikes_mark: None,
        limits: Vec::new(),
        unresolved: requests.iter().map(|request| run(request, 1)).collect(),
        wants_fleet: true,
        zone: String::new(),
    }
}

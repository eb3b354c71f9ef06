//! runs with an unknown outcome, as ledger nodes pass them on between doors.

use flamingostand::fleet::UnresolvedRuns;
use flamingostand::poison::Strikes;
use flamingostand::schema::DoorReport;
use flamingostand::schema::PoisonStrike;

fn victim(name: &str) -> PoisonStrike {
    PoisonStrike { content: "x".to_owned(), victim: name.to_owned() }
}

fn report(door: &str, started: &str, victims: &[&str]) -> DoorReport {
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
        unresolved: victims.iter().map(|name| victim(name)).collect(),
        wants_fleet: true,
        zone: String::new(),
    }
}

/// Guards against a content that each of several doors sends to the threshold of replicas.
#[test]
fn runs_of_all_doors_are_added_up() {
    let mut runs = UnresolvedRuns::default();
    let mut strikes = Strikes::default();
    let asking = report("c", "1", &[]);
    runs.report(0, &report("a", "1", &["1"]));
    runs.report(0, &report("b", "1", &["2"]));
    assert!(runs.for_door(&asking, &strikes).is_empty(), "two are below the threshold");
    strikes.add(0, &victim("3"));
    assert_eq!(runs.for_door(&asking, &strikes), [victim("1"), victim("2")]);
    runs.report(250, &report("a", "1", &[]));
    assert!(runs.for_door(&asking, &strikes).is_empty(), "a run that is cleared");
}

/// Guards against counting a replica twice, as an unresolved run and as a strike.
#[test]
fn run_that_became_a_strike_counts_once() {
    let mut runs = UnresolvedRuns::default();
    let mut strikes = Strikes::default();
    strikes.add(0, &victim("1"));
    runs.report(0, &report("a", "1", &["1", "2"]));
    assert!(runs.for_door(&report("b", "1", &[]), &strikes).is_empty());
}

/// Guards against forgetting the runs of a door that was killed and started again.
#[test]
fn runs_of_an_earlier_start_are_kept() {
    let mut runs = UnresolvedRuns::default();
    let strikes = Strikes::default();
    runs.report(0, &report("a", "1", &["1", "2", "3"]));
    let restarted = report("a", "2", &[]);
    runs.report(1_000, &restarted);
    assert_eq!(runs.for_door(&restarted, &strikes).len(), 3);
    runs.expire(600_000);
    assert!(runs.for_door(&restarted, &strikes).is_empty());
}

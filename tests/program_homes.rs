//! the home of a program, the replica that caches its prompts: the ledger records it, so that all doors know
//! it.

mod fleet;

use std::thread::sleep;
use std::time::Duration;

use flamingostand::ledger::RecordStore;
use flamingostand::schema::LedgerFinish;
use flamingostand::schema::LedgerRecord;
use fleet::ClientRequest;
use fleet::Fleet;

/// token budget that no turn of these tests exhausts.
const LARGE_BUDGET: u64 = 100_000;
/// pause between two turns of a program, in which the first one's end is recorded in the ledger.
const PAUSE: Duration = Duration::from_millis(200);

fn finish(request: &str, line: Option<&str>, replica: Option<&str>) -> LedgerRecord {
    LedgerRecord::Finished(LedgerFinish {
        program: "p".to_owned(),
        request: request.to_owned(),
        line: line.map(str::to_owned),
        replica: replica.map(str::to_owned),
        used_tokens: 1,
        turn: None,
    })
}

#[test]
fn home_of_the_line_precedes_that_of_the_program() {
    let mut store = RecordStore::default();
    assert_eq!(store.home("p", Some("main")), None);
    store.merge(0, &finish("a", Some("main"), Some("r1")));
    store.merge(0, &finish("b", Some("helper"), Some("r2")));
    assert_eq!(store.home("p", Some("main")), Some("r1"));
    assert_eq!(store.home("p", Some("helper")), Some("r2"));
    assert_eq!(
        store.home("p", Some("new helper")),
        Some("r2"),
        "a new line starts at the home of its program"
    );
}

#[test]
fn turn_without_replica_keeps_the_home() {
    let mut store = RecordStore::default();
    store.merge(0, &finish("a", Some("main"), Some("r1")));
    store.merge(0, &finish("b", Some("main"), None));
    assert_eq!(store.home("p", Some("main")), Some("r1"));
}

#[test]
fn remembered_homes_are_bounded() {
    let mut store = RecordStore::default();
    for number in 0..1_000 {
        store.merge(0, &finish(&format!("t{number}"), Some(&format!("line-{number}")), Some("r1")));
    }
    let remembered = (0..1_000).filter(|number| {
        let line = format!("line-{number}");
        store.merge(0, &finish("last", None, Some("r2")));
        store.home("p", Some(&line)) == Some("r1")
    });
    assert!(remembered.count() <= 64);
}

/// number of replicas that ran any turn.
fn home_count(fleet: &Fleet) -> usize {
    fleet.models.iter().filter(|replica| !replica.runs().is_empty()).count()
}

#[test]
fn turns_through_two_doors_share_a_home() {
    let mut fleet = Fleet::start("homes", 2);
    for number in 3..=8 {
        fleet.add_replica(&format!("model-{number}"), "models", 4);
    }
    // Doors learn of new replicas within a few reports.
    sleep(Duration::from_secs(1));
    for number in 0..8 {
        let ask =
            ClientRequest::turn("/chat/t", &format!("turn-{number}"), "x", "program-1", LARGE_BUDGET, 50);
        let answer = fleet.doors[number % 2].send(&ask.with("X-Session-Id", "main"));
        assert!(answer.is_whole, "{answer:?}");
        sleep(PAUSE);
        if number == 3 {
            // The ledger nodes recover the home from their logs.
            for node in &mut fleet.ledgers {
                node.kill();
                node.start();
            }
            let ask = ClientRequest::turn("/chat/t", "turn-again", "x", "program-1", LARGE_BUDGET, 50);
            fleet.turn_until_answered(0, &ask.with("X-Session-Id", "main"));
            sleep(PAUSE);
        }
    }
    assert_eq!(home_count(&fleet), 1, "turns ran at several replicas");
}

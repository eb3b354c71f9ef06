//! a ledger node that restarts repeatedly while the ledger has only a bare quorum. Load: concurrent turns
//! through a door whose ledger connections break between the reservation of a turn's tokens and its
//! confirmation.

mod fleet;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::ClientRequest;
use fleet::Fleet;

/// concurrent callers.
const CALLERS: usize = 8;
/// pause of a caller after a refusal.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// number of kills and restarts of the node.
const RESTARTS: usize = 8;

#[test]
fn reservation_outlives_a_broken_connection() {
    let mut fleet = Fleet::start("flaps", 1);
    fleet.ledgers[2].kill();
    let mut restarting = fleet.ledgers.remove(1);
    let stopped = AtomicBool::new(false);
    let statuses = std::thread::scope(|scope| {
        let (fleet, stopped) = (&fleet, &stopped);
        let run_turns = |caller: usize| {
            let mut statuses = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                let id = format!("turn-{caller}-{}", statuses.len());
                let program = format!("program-{id}");
                let answer =
                    fleet.doors[0].send(&ClientRequest::turn("/kept/t", &id, "x", &program, 10_000, 100));
                statuses.push(answer.status);
                if answer.status == 503 {
                    std::thread::sleep(RETRY_PAUSE);
                }
            }
            statuses
        };
        let callers: Vec<_> = (0..CALLERS).map(|caller| scope.spawn(move || run_turns(caller))).collect();
        for _ in 0..RESTARTS {
            std::thread::sleep(Duration::from_millis(400));
            restarting.kill();
            restarting.start();
        }
        stopped.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller finishes")).collect::<Vec<u16>>()
    });
    restarting.kill();
    let count = |wanted: u16| statuses.iter().filter(|status| **status == wanted).count();
    println!("200: {}, 503: {}, 502: {}", count(200), count(503), count(502));
    assert!(count(200) > 0);
    // A turn is refused before it reaches a replica or served: the node is back within the confirmation
    // timeout.
    assert_eq!(count(502), 0, "{statuses:?}");
}

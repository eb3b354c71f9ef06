//! a ledger node that starts again and again while just enough others are left. Pattern of load: many turns at once
//! through a door whose connections to the ledger break between the reservation of a turn and its confirmation.

mod fleet;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::ClientRequest;
use fleet::Fleet;

/// turns that run at once.
const CALLERS: usize = 8;
/// how long a caller that was refused waits.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);
/// times that the node is killed and started again.
const FLAPS: usize = 8;

#[test]
fn reservation_outlives_a_broken_connection() {
    let mut fleet = Fleet::start("flaps", 1);
    fleet.ledgers[2].kill();
    let mut flapping = fleet.ledgers.remove(1);
    let ends = AtomicBool::new(false);
    let statuses = std::thread::scope(|scope| {
        let (fleet, ends) = (&fleet, &ends);
        let ask = |caller: usize| {
            let mut statuses = Vec::new();
            while !ends.load(Ordering::Relaxed) {
                let id = format!("turn-{caller}-{}", statuses.len());
                let program = format!("program-{id}");
                let answer =
                    fleet.doors[0].send(&ClientRequest::turn("/kept/t", &id, "x", &program, 10_000, 100));
                statuses.push(answer.status);
                if answer.status == 503 {
                    std::thread::sleep(REFUSED_PAUSE);
                }
            }
            statuses
        };
        let callers: Vec<_> = (0..CALLERS).map(|caller| scope.spawn(move || ask(caller))).collect();
        for _ in 0..FLAPS {
            std::thread::sleep(Duration::from_millis(400));
            flapping.kill();
            flapping.start();
        }
        ends.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller ends")).collect::<Vec<u16>>()
    });
    flapping.kill();
    let count = |wanted: u16| statuses.iter().filter(|status| **status == wanted).count();
    println!("200: {}, 503: {}, 502: {}", count(200), count(503), count(502));
    assert!(count(200) > 0);
    // A turn that has begun at a replica is either refused before or served: the node is back within the limit.
    assert_eq!(count(502), 0, "{statuses:?}");
}

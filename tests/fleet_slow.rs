//! ledger nodes that answer late, all at once. Pattern of load: machines so busy that each message waits longer than a
//! door is patient with a node, while none is gone.

mod fleet;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::ClientRequest;
use fleet::Fleet;

/// how long a node does nothing in a row: longer than a door waits before it asks the other members as well.
const STALL: Duration = Duration::from_millis(120);
/// how long it works in between.
const WORK: Duration = Duration::from_millis(2);

#[test]
fn slow_ledger_is_waited_for() {
    let fleet = Fleet::start("slow-ledger", 1);
    let ends = AtomicBool::new(false);
    let answers = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !ends.load(Ordering::Relaxed) {
                for (signal, pause) in [("STOP", STALL), ("CONT", WORK)] {
                    for node in &fleet.ledgers {
                        node.signal(signal);
                    }
                    std::thread::sleep(pause);
                }
            }
        });
        let ask = |number: u32| {
            let id = format!("turn-{number}");
            fleet.doors[0].send(&ClientRequest::turn("/kept/t", &id, "x", "program-1", 10_000, 100))
        };
        let answers: Vec<_> = (0..5).map(ask).collect();
        ends.store(true, Ordering::Relaxed);
        answers
    });
    for answer in answers {
        assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    }
}

/// Turns whose reservations waited for nodes that stalled in turn ended without an answer, though their replica had run
/// them.
#[test]
fn nodes_that_stall_in_turn_lose_no_answer() {
    let fleet = Fleet::start("stalls-in-turn", 1);
    let ends = AtomicBool::new(false);
    let answers = std::thread::scope(|scope| {
        for (position, node) in fleet.ledgers.iter().enumerate() {
            let ends = &ends;
            scope.spawn(move || {
                std::thread::sleep(STALL / 3 * position as u32);
                while !ends.load(Ordering::Relaxed) {
                    node.signal("STOP");
                    std::thread::sleep(STALL);
                    node.signal("CONT");
                    std::thread::sleep(STALL / 5);
                }
            });
        }
        let ask = |number: u32| {
            let program = format!("program-{number}");
            fleet.doors[0].send(&ClientRequest::turn(
                "/kept/t",
                &format!("turn-{number}"),
                "x",
                &program,
                10_000,
                100,
            ))
        };
        let answers: Vec<_> = (0..60).map(ask).collect();
        ends.store(true, Ordering::Relaxed);
        answers
    });
    for answer in answers {
        assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    }
}

/// Doors told a ledger that did not answer three times as much, and kept it too busy to answer.
#[test]
fn silent_ledger_is_told_no_more() {
    let fleet = Fleet::start("silent-ledger", 1);
    let reports = || fleet.doors[0].metric("ledger_asks_total{kind=\"report\"}");
    let reports_of = |span: Duration| {
        let before = reports();
        std::thread::sleep(span);
        reports() - before
    };
    let span = Duration::from_secs(3);
    let at_rest = reports_of(span);
    for node in &fleet.ledgers {
        node.signal("STOP");
    }
    let silent = reports_of(span);
    for node in &fleet.ledgers {
        node.signal("CONT");
    }
    assert!(silent <= at_rest, "{silent} reports to a silent ledger, {at_rest} to one that answers");
}

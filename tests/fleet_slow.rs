//! slow ledger nodes. Load: machines so busy that each message waits longer than a door's timeout for one
//! node, while all nodes are alive.

mod fleet;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::ClientRequest;
use fleet::Fleet;

/// length of a stall: longer than a door waits before it sends hedged requests to the other members.
const STALL: Duration = Duration::from_millis(120);
/// time between stalls.
const RUN: Duration = Duration::from_millis(2);

#[test]
fn slow_ledger_does_not_fail_turns() {
    let fleet = Fleet::start("slow-ledger", 1);
    let stopped = AtomicBool::new(false);
    let answers = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !stopped.load(Ordering::Relaxed) {
                for (signal, pause) in [("STOP", STALL), ("CONT", RUN)] {
                    for node in &fleet.ledgers {
                        node.signal(signal);
                    }
                    std::thread::sleep(pause);
                }
            }
        });
        let run_turn = |number: u32| {
            let id = format!("turn-{number}");
            fleet.doors[0].send(&ClientRequest::turn("/kept/t", &id, "x", "program-1", 10_000, 100))
        };
        let answers: Vec<_> = (0..5).map(run_turn).collect();
        stopped.store(true, Ordering::Relaxed);
        answers
    });
    for answer in answers {
        assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    }
}

/// Guards against lost answers of turns that a replica has run: their reservations waited for nodes that
/// stalled one after the other.
#[test]
fn nodes_that_stall_in_turn_lose_no_answer() {
    let fleet = Fleet::start("stalls-in-turn", 1);
    let stopped = AtomicBool::new(false);
    let answers = std::thread::scope(|scope| {
        for (position, node) in fleet.ledgers.iter().enumerate() {
            let stopped = &stopped;
            scope.spawn(move || {
                std::thread::sleep(STALL / 3 * position as u32);
                while !stopped.load(Ordering::Relaxed) {
                    node.signal("STOP");
                    std::thread::sleep(STALL);
                    node.signal("CONT");
                    std::thread::sleep(STALL / 5);
                }
            });
        }
        let run_turn = |number: u32| {
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
        let answers: Vec<_> = (0..60).map(run_turn).collect();
        stopped.store(true, Ordering::Relaxed);
        answers
    });
    for answer in answers {
        assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    }
}

/// Guards against doors that send three times as many reports to a ledger that does not answer, and so keep
/// it too busy to answer.
#[test]
fn silent_ledger_gets_no_extra_reports() {
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

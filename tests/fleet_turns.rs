//! turns of programs through real doors and ledger nodes: histories, budgets and durability across kills.

mod fleet;

use fleet::ClientRequest;
use fleet::Fleet;

/// token budget that no test exhausts.
const LARGE_BUDGET: u64 = 100_000;

fn turn(id: &str, body: &str) -> ClientRequest {
    ClientRequest::turn("/kept/t", id, body, "program-1", LARGE_BUDGET, 100)
}

#[test]
fn history_from_any_door() {
    let fleet = Fleet::start("history", 2);
    let first = fleet.doors[0].send(&turn("a", "<one>"));
    assert_eq!((first.status, first.is_whole), (200, true), "{first:?}");
    assert_eq!(first.events(), ["word1", "word2", "word3", "word4"]);
    let second = fleet.doors[1].send(&turn("b", "<two>").after("a"));
    assert_eq!((second.status, second.is_whole), (200, true), "{second:?}");
    let fork = fleet.doors[0].send(&turn("c", "<fork>").after("a"));
    assert_eq!(fork.status, 200, "{fork:?}");
    let history = "<one>word1\nword2\nword3\nword4\n";
    let bodies = fleet.model_bodies();
    assert!(bodies.contains(&format!("{history}<two>")), "{bodies:?}");
    assert!(bodies.contains(&format!("{history}<fork>")), "{bodies:?}");
}

#[test]
fn unknown_turn() {
    let fleet = Fleet::start("unknown", 1);
    let answer = fleet.doors[0].send(&turn("a", "x").after("never"));
    assert_eq!(answer.status, 404, "{answer:?}");
    assert_eq!(fleet.run_count("a"), 0);
}

#[test]
fn budget_is_kept() {
    let fleet = Fleet::start("budget", 2);
    // Each turn reserves 50 tokens and generates 40.
    let mut served = 0;
    for number in 0..6 {
        let request = ClientRequest::turn("/chat/t", &format!("turn-{number}"), "x", "loop", 130, 50);
        let answer = fleet.doors[number % 2].send(&request);
        match answer.status {
            200 => served += 1,
            402 => assert_eq!(fleet.run_count(&request.id), 0, "a refused turn must not run"),
            status => panic!("status {status}"),
        }
    }
    assert_eq!(served, 3, "40 + 40 + 50 tokens fit into 130, a fourth turn does not");
}

#[test]
fn one_ledger_node_dies() {
    let mut fleet = Fleet::start("one-dies", 2);
    assert_eq!(fleet.doors[0].send(&turn("a", "<one>")).status, 200);
    fleet.ledgers[0].kill();
    let answer = fleet.turn_until_answered(1, &turn("b", "<two>").after("a"));
    assert!(answer.is_whole);
    fleet.ledgers[0].start();
    fleet.ledgers[1].kill();
    let answer = fleet.turn_until_answered(0, &turn("c", "<three>").after("b"));
    assert!(answer.is_whole);
    let last = fleet.model_bodies().into_iter().find(|body| body.ends_with("<three>"));
    assert!(last.is_some_and(|body| body.starts_with("<one>word1")), "the history is incomplete");
}

#[test]
fn all_processes_die() {
    let mut fleet = Fleet::start("all-die", 2);
    assert_eq!(fleet.doors[0].send(&turn("a", "<one>")).status, 200);
    for node in fleet.doors.iter_mut().chain(&mut fleet.ledgers) {
        node.kill();
    }
    for node in fleet.ledgers.iter_mut().chain(&mut fleet.doors) {
        node.start();
    }
    let answer = fleet.turn_until_answered(0, &turn("b", "<two>").after("a"));
    assert!(answer.is_whole);
    assert!(fleet.model_bodies().iter().any(|body| body == "<one>word1\nword2\nword3\nword4\n<two>"));
}

#[test]
fn disk_is_lost() {
    let mut fleet = Fleet::start("disk-lost", 1);
    assert_eq!(fleet.doors[0].send(&turn("a", "<one>")).status, 200);
    let lost = 0;
    fleet.ledgers[lost].kill();
    fleet.delete_data(lost);
    fleet.ledgers[lost].start();
    let node = &fleet.ledgers[lost];
    fleet.wait("the node has copied the records", || {
        node.lines_with("caught up; all records are present").len() > 1
    });
    fleet.ledgers[1].kill();
    let answer = fleet.turn_until_answered(0, &turn("b", "<two>").after("a"));
    assert!(answer.is_whole);
}

#[test]
fn turns_go_on_without_the_platform() {
    let fleet = Fleet::start("no-platform", 1);
    assert_eq!(fleet.doors[0].send(&turn("a", "<one>")).status, 200);
    fleet.set_platform_down(true);
    let answer = fleet.doors[0].send(&turn("b", "<two>").after("a"));
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
}

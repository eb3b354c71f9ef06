//! replicas that say in their answers that they leave, while their entries still name them and the platform is away.

mod fleet;

use flamingo_standins::replica::ReplicaFault;
use flamingo_standins::replica::ReplicaStandin;
use fleet::ClientRequest;
use fleet::Fleet;
use test_case::test_case;

/// requests after a replica has said that it leaves.
const LATER: usize = 12;

fn letter(id: &str) -> ClientRequest {
    ClientRequest::post("/send/letter", id, "dear author")
}

fn look(id: &str) -> ClientRequest {
    ClientRequest::get("/look/status", id)
}

fn chat(id: &str) -> ClientRequest {
    ClientRequest::turn("/chat/t", id, "x", id, 10_000, 100)
}

fn kept(id: &str) -> ClientRequest {
    ClientRequest::turn("/kept/t", id, "x", id, 10_000, 100)
}

/// sends requests through a door until the replica has had one of them since it leaves.
fn ask_until_heard(fleet: &Fleet, door: usize, leaving: &ReplicaStandin, ask: fn(&str) -> ClientRequest) {
    let before = leaving.asked();
    let mut number = 0;
    fleet.wait("the leaving replica is asked", || {
        number += 1;
        fleet.doors[door].send(&ask(&format!("until-{number}")));
        leaving.asked() > before
    });
}

/// sends more requests, and returns how many of them reached the leaving replica.
fn later(fleet: &Fleet, door: usize, leaving: &ReplicaStandin, ask: fn(&str) -> ClientRequest) -> usize {
    let before = leaving.asked();
    for number in 0..LATER {
        fleet.doors[door].send(&ask(&format!("later-{number}")));
    }
    leaving.asked() - before
}

/// Guards against requests to a replica that has said that it leaves, in whatever answer, and however they are sent on.
#[test_case(ReplicaFault::None, letter; "success of a call")]
#[test_case(ReplicaFault::None, look; "success of a look up")]
#[test_case(ReplicaFault::Fail, letter; "failure of its own")]
#[test_case(ReplicaFault::Shed, letter; "full")]
#[test_case(ReplicaFault::Short, look; "answer cut short")]
#[test_case(ReplicaFault::Foreign, look; "answer of another request")]
#[test_case(ReplicaFault::None, chat; "stream")]
#[test_case(ReplicaFault::BreakAfter(1), chat; "stream that is resumed elsewhere")]
#[test_case(ReplicaFault::None, kept; "kept turn")]
fn leaving_replica_gets_no_more(fault: ReplicaFault, ask: fn(&str) -> ClientRequest) {
    let fleet = Fleet::start(&format!("leaving-{fault:?}-{}", ask("x").path.replace('/', "-")), 1);
    fleet.set_platform_down(true);
    let leaving = if ask("x").path.starts_with("/send") || ask("x").path.starts_with("/look") {
        &fleet.tools[0]
    } else {
        &fleet.models[0]
    };
    leaving.leave();
    leaving.set_fault(fault);
    ask_until_heard(&fleet, 0, leaving, ask);
    leaving.set_fault(ReplicaFault::None);
    assert_eq!(later(&fleet, 0, leaving, ask), 0);
}

/// Guards against a header that is overlooked because it came with a refusal meant for another replica.
#[test]
fn leaving_replica_at_a_reused_address() {
    let fleet = Fleet::start("leaving-reused", 1);
    let leaving = &fleet.tools[0];
    leaving.leave();
    for number in 0..8 {
        fleet.list_ghost(&format!("ghost-{number}"), leaving);
    }
    ask_until_heard(&fleet, 0, leaving, letter);
    let before = leaving.runs().len();
    later(&fleet, 0, leaving, letter);
    assert_eq!(leaving.runs().len(), before, "requests to those that are gone are turned away; it runs none");
}

/// Guards against a door that goes on although another door was told.
#[test]
fn leaving_replica_is_known_to_all_doors() {
    let fleet = Fleet::start("leaving-told", 2);
    let leaving = &fleet.tools[0];
    leaving.leave();
    ask_until_heard(&fleet, 0, leaving, letter);
    fleet.wait("the other door is told", || {
        !fleet.doors[1].lines_with("a replica says that it leaves").is_empty()
    });
    assert_eq!(later(&fleet, 1, leaving, letter), 0);
}

/// Guards against requests that wait, or go to a leaving replica, where no other one is left.
#[test]
fn service_that_leaves_is_refused_at_once() {
    let fleet = Fleet::start("leaving-all", 1);
    for tool in &fleet.tools {
        tool.leave();
        ask_until_heard(&fleet, 0, tool, letter);
    }
    let answer = fleet.doors[0].send(&letter("none"));
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(fleet.run_count("none"), 0);
}

/// Guards against a replica that is left alone for ever: it is back with a later start.
#[test]
fn new_start_takes_a_leaving_replica_back() {
    let fleet = Fleet::start("leaving-back", 1);
    let leaving = &fleet.tools[0];
    leaving.leave();
    ask_until_heard(&fleet, 0, leaving, letter);
    assert_eq!(later(&fleet, 0, leaving, letter), 0);
    leaving.start_anew();
    fleet.list_replica(leaving, "ready");
    ask_until_heard(&fleet, 0, leaving, letter);
}

/// Guards against an answer that the door changes: the header goes on to the caller.
#[test]
fn leaving_header_goes_on_to_the_caller() {
    let fleet = Fleet::start("leaving-header", 1);
    for tool in &fleet.tools {
        tool.leave();
    }
    let answer = fleet.doors[0].send(&letter("a"));
    assert_eq!(answer.header("server-leaving"), Some("1"), "{answer:?}");
}

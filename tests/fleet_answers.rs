//! lost, late, foreign and truncated answers: a non-idempotent request never runs twice, and a truncated
//! answer never looks complete.

mod fleet;

use flamingo_standins::replica::ReplicaFault;
use fleet::ClientRequest;
use fleet::Fleet;
use test_case::test_case;

fn post(id: &str) -> ClientRequest {
    ClientRequest::post("/send/letter", id, "dear author")
}

#[test_case(ReplicaFault::LoseAnswer; "lost")]
#[test_case(ReplicaFault::Foreign; "foreign")]
#[test_case(ReplicaFault::Short; "short")]
#[test_case(ReplicaFault::Unsigned; "unsigned")]
fn non_idempotent_request_runs_once(fault: ReplicaFault) {
    let fleet = Fleet::start(&format!("once-{fault:?}"), 1);
    for tool in &fleet.tools {
        tool.set_fault(fault);
    }
    let answer = fleet.doors[0].send(&post("a"));
    assert_eq!(answer.status, 502, "the request may have run, so it must not be a 503: {answer:?}");
    assert_eq!(fleet.run_count("a"), 1);
}

#[test]
fn shed_request_is_retried_elsewhere() {
    let fleet = Fleet::start("shed", 1);
    fleet.tools[0].set_fault(ReplicaFault::Shed);
    for number in 0..4 {
        let id = format!("a{number}");
        assert_eq!(fleet.doors[0].send(&post(&id)).status, 200);
        assert_eq!(fleet.run_count(&id), 1);
    }
}

#[test]
fn all_full() {
    let fleet = Fleet::start("full", 1);
    for tool in &fleet.tools {
        tool.set_fault(ReplicaFault::Shed);
    }
    let answer = fleet.doors[0].send(&post("a"));
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(fleet.run_count("a"), 0, "a 503 guarantees that the request did not run");
}

#[test_case(ReplicaFault::LoseAnswer; "lost")]
#[test_case(ReplicaFault::Short; "short")]
fn idempotent_request_is_retried_elsewhere(fault: ReplicaFault) {
    let fleet = Fleet::start(&format!("look-{fault:?}"), 1);
    fleet.tools[0].set_fault(fault);
    for number in 0..4 {
        let answer = fleet.doors[0].send(&ClientRequest::get("/look/status", &format!("a{number}")));
        assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    }
}

#[test]
fn dead_replica_is_avoided() {
    let fleet = Fleet::start("dead", 1);
    fleet.tools[0].die();
    for number in 0..6 {
        let answer = fleet.doors[0].send(&post(&format!("a{number}")));
        assert_eq!(
            answer.status, 200,
            "no byte reached the dead replica, so another one may run the request"
        );
    }
}

#[test]
fn broken_stream_is_incomplete() {
    let fleet = Fleet::start("broken-stream", 1);
    for model in &fleet.models {
        model.set_fault(ReplicaFault::BreakAfter(2));
    }
    let answer = fleet.doors[0].send(&ClientRequest::turn("/kept/t", "a", "x", "p", 10_000, 100));
    assert!(!answer.is_whole, "{answer:?}");
    assert_eq!(answer.events(), ["word1", "word2"]);
    // A turn whose stream did not complete is not stored.
    let next = fleet.doors[0].send(&ClientRequest::turn("/kept/t", "b", "y", "p", 10_000, 100).after("a"));
    assert_eq!(next.status, 404);
}

#[test]
fn caller_disconnect_cancels_the_run() {
    let fleet = Fleet::start("leaves", 1);
    for model in &fleet.models {
        model.set_fault(ReplicaFault::Mute);
    }
    let request = ClientRequest::turn("/chat/t", "a", "x", "p", 10_000, 100).with("X-Deadline-Ms", "60000");
    let connection = fleet.open(0, &request);
    fleet.wait("the request runs", || fleet.run_count("a") == 1);
    drop(connection);
    fleet.wait("the run is cancelled", || {
        fleet.models.iter().flat_map(|model| model.runs()).all(|run| run.is_cancelled)
    });
}

#[test]
fn remaining_time_is_forwarded() {
    let fleet = Fleet::start("time-left", 1);
    assert_eq!(fleet.doors[0].send(&post("a")).status, 200);
    let runs = fleet.tools.iter().flat_map(|tool| tool.runs()).collect::<Vec<_>>();
    let left_ms = runs[0].left_ms.expect("a time");
    assert!((1_000..=3_000).contains(&left_ms), "{left_ms}");
}

#[test]
fn silent_replica_times_out() {
    let mut fleet = Fleet::start("mute", 1);
    let slow =
        fleet::route("send", "/send/", "non_idempotent", "tools", serde_json::json!({ "timeout_ms": 300 }));
    fleet.put_config(&serde_json::json!([slow]));
    fleet.wait("the timeout is in force", || fleet.doors[0].lines_with("configuration activated").len() > 1);
    for tool in &fleet.tools {
        tool.set_fault(ReplicaFault::Mute);
    }
    let answer = fleet.doors[0].send(&post("a"));
    assert_eq!(answer.status, 504, "{answer:?}");
}

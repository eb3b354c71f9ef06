//! replicas that announce in their answers that they are leaving, while their entries are unchanged and the
//! platform is unavailable.

mod fleet;

use flamingo_standins::replica::ReplicaFault;
use flamingo_standins::replica::ReplicaStandin;
use fleet::ClientRequest;
use fleet::Fleet;
use test_case::test_case;

/// number of requests sent after a replica has announced that it is leaving.
const FOLLOW_UPS: usize = 12;

fn post(id: &str) -> ClientRequest {
    ClientRequest::post("/send/letter", id, "dear author")
}

fn get(id: &str) -> ClientRequest {
    ClientRequest::get("/look/status", id)
}

fn stream(id: &str) -> ClientRequest {
    ClientRequest::turn("/chat/t", id, "x", id, 10_000, 100)
}

fn retained_turn(id: &str) -> ClientRequest {
    ClientRequest::turn("/kept/t", id, "x", id, 10_000, 100)
}

/// sends requests through a door until the leaving replica has received one.
fn send_until_received(
    fleet: &Fleet,
    door: usize,
    leaving: &ReplicaStandin,
    request: fn(&str) -> ClientRequest,
) {
    let before = leaving.asked();
    let mut number = 0;
    fleet.wait("the leaving replica is asked", || {
        number += 1;
        fleet.doors[door].send(&request(&format!("until-{number}")));
        leaving.asked() > before
    });
}

/// sends further requests; returns how many of them reached the leaving replica.
fn count_follow_ups(
    fleet: &Fleet,
    door: usize,
    leaving: &ReplicaStandin,
    request: fn(&str) -> ClientRequest,
) -> usize {
    let before = leaving.asked();
    for number in 0..FOLLOW_UPS {
        fleet.doors[door].send(&request(&format!("later-{number}")));
    }
    leaving.asked() - before
}

/// Guards against requests to a replica that has announced in any kind of answer that it is leaving.
#[test_case(ReplicaFault::None, post; "success of a call")]
#[test_case(ReplicaFault::None, get; "success of a lookup")]
#[test_case(ReplicaFault::Fail, post; "failure of its own")]
#[test_case(ReplicaFault::Shed, post; "full")]
#[test_case(ReplicaFault::Short, get; "truncated answer")]
#[test_case(ReplicaFault::Foreign, get; "answer of another request")]
#[test_case(ReplicaFault::None, stream; "stream")]
#[test_case(ReplicaFault::BreakAfter(1), stream; "stream that is resumed elsewhere")]
#[test_case(ReplicaFault::None, retained_turn; "retained turn")]
fn leaving_replica_gets_no_more(fault: ReplicaFault, request: fn(&str) -> ClientRequest) {
    let fleet = Fleet::start(&format!("leaving-{fault:?}-{}", request("x").path.replace('/', "-")), 1);
    fleet.set_platform_down(true);
    let leaving = if request("x").path.starts_with("/send") || request("x").path.starts_with("/look") {
        &fleet.tools[0]
    } else {
        &fleet.models[0]
    };
    leaving.leave();
    leaving.set_fault(fault);
    send_until_received(&fleet, 0, leaving, request);
    leaving.set_fault(ReplicaFault::None);
    assert_eq!(count_follow_ups(&fleet, 0, leaving, request), 0);
}

/// Guards against a missed announcement: the header came with a rejection of a request for another replica
/// id.
#[test]
fn leaving_replica_at_a_reused_address() {
    let fleet = Fleet::start("leaving-reused", 1);
    let leaving = &fleet.tools[0];
    leaving.leave();
    for number in 0..8 {
        fleet.register_stale(&format!("ghost-{number}"), leaving);
    }
    send_until_received(&fleet, 0, leaving, post);
    let before = leaving.runs().len();
    count_follow_ups(&fleet, 0, leaving, post);
    assert_eq!(leaving.runs().len(), before, "requests for the stale ids are rejected without a run");
}

/// Guards against a door that still uses a leaving replica although another door knows of it.
#[test]
fn leaving_replica_is_known_to_all_doors() {
    let fleet = Fleet::start("leaving-told", 2);
    let leaving = &fleet.tools[0];
    leaving.leave();
    send_until_received(&fleet, 0, leaving, post);
    fleet.wait("the other door learns of the announcement", || {
        !fleet.doors[1].lines_with("replica announced that it is leaving").is_empty()
    });
    assert_eq!(count_follow_ups(&fleet, 1, leaving, post), 0);
}

/// Guards against requests that wait or reach a leaving replica when no other replica is left.
#[test]
fn service_that_leaves_is_refused_at_once() {
    let fleet = Fleet::start("leaving-all", 1);
    for tool in &fleet.tools {
        tool.leave();
        send_until_received(&fleet, 0, tool, post);
    }
    let answer = fleet.doors[0].send(&post("none"));
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(fleet.run_count("none"), 0);
}

/// Guards against a replica that is avoided for ever: an entry with a later start time makes it usable again.
#[test]
fn new_start_takes_a_leaving_replica_back() {
    let fleet = Fleet::start("leaving-back", 1);
    let leaving = &fleet.tools[0];
    leaving.leave();
    send_until_received(&fleet, 0, leaving, post);
    assert_eq!(count_follow_ups(&fleet, 0, leaving, post), 0);
    leaving.start_anew();
    fleet.register_replica(leaving, "ready");
    send_until_received(&fleet, 0, leaving, post);
}

/// Guards against a door that removes the leaving header from the caller's answer.
#[test]
fn leaving_header_goes_on_to_the_caller() {
    let fleet = Fleet::start("leaving-header", 1);
    for tool in &fleet.tools {
        tool.leave();
    }
    let answer = fleet.doors[0].send(&post("a"));
    assert_eq!(answer.header("server-leaving"), Some("1"), "{answer:?}");
}

//! replicas that stop anywhere in an answer, most of all in its head: nothing short looks whole.

mod fleet;

use std::ops::Range;

use flamingo_standins::replica::Ending;
use flamingo_standins::replica::ScriptedAnswer;
use flamingo_standins::replica::ScriptedReplica;
use flamingo_standins::replica::ScriptedRequest;
use fleet::Answer;
use fleet::ClientRequest;
use fleet::Fleet;
use serde_json::json;
use test_case::test_case;

const BODY: &str = "hello";
const EVENTS: &str = "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\n";
/// bytes between two places at which an answer stops.
const STEP: usize = 3;

/// how an answer says where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    /// by the end of its connection.
    Connection,
}

fn answer(id: &str, framing: Framing, kind: &str, body: &str) -> String {
    let signed = format!("x-request-id: {id}\r\nx-response-signature: sig\r\ncontent-type: {kind}\r\n");
    let (framed, body) = match framing {
        Framing::Length => (format!("content-length: {}\r\n", body.len()), body.to_owned()),
        Framing::Chunks => {
            ("transfer-encoding: chunked\r\n".to_owned(), format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()))
        }
        Framing::Connection => (String::new(), body.to_owned()),
    };
    format!("HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n{signed}{framed}\r\n{body}")
}

/// places at which an answer stops: in its head, and in its body if that has an end of its own.
fn places(framing: Framing, whole: &str) -> Range<usize> {
    match framing {
        Framing::Length | Framing::Chunks => 0..whole.len(),
        // A body that ends with its connection is whole wherever that is closed.
        Framing::Connection => 0..whole.rfind("\r\n\r\n").expect("a head") + 4,
    }
}

/// the place at which the answer to a request stops, which its id tells; `None` for a whole one.
fn place(request: &ScriptedRequest) -> Option<usize> {
    request.id.strip_prefix("cut-")?.split('-').next()?.parse().ok()
}

/// an answer that stops where the id of its request tells; a whole one if it tells no place.
fn stopped(request: &ScriptedRequest, mut bytes: String, ending: Ending) -> ScriptedAnswer {
    let Some(place) = place(request) else {
        // It ends by its length, as the connection is to stay open.
        let bytes = answer(&request.id, Framing::Length, "text/plain", BODY);
        return ScriptedAnswer { bytes, ending: Ending::KeptOpen };
    };
    bytes.truncate(place);
    ScriptedAnswer { bytes, ending }
}

/// a door before two scripted replicas of a service.
fn start(name: &str, service: &str, script: impl Script) -> (Fleet, [ScriptedReplica; 2]) {
    let mut fleet = Fleet::start(&format!("heads-{name}"), 1);
    let route = |name: &str, kind: &str, service: &str, resumable: bool| {
        let more = json!({ "max_attempts": 2, "resumable": resumable });
        fleet::route(name, &format!("/{name}/"), kind, service, more)
    };
    fleet.put_config(&json!([
        route("look", "idempotent", "tools", false),
        route("send", "non_idempotent", "tools", false),
        route("chat", "streaming", "models", true),
    ]));
    fleet.wait("the routes are in force", || fleet.doors[0].lines_with("configuration activated").len() > 1);
    let replicas = [(); 2].map(|()| ScriptedReplica::start(script.clone()).expect("a replica starts"));
    fleet.replace_with_scripted(&replicas[0], service, &[]);
    fleet.add_scripted("scripted-2", &replicas[1], service);
    fleet.wait("both replicas get requests", || {
        for path in ["/look/warm", "/chat/warm"] {
            fleet.doors[0].send(&ClientRequest::get(path, "warm"));
        }
        replicas.iter().all(|replica| replica.runs().iter().any(|run| run.id == "warm"))
    });
    (fleet, replicas)
}

trait Script: Fn(&ScriptedRequest) -> ScriptedAnswer + Clone + Send + Sync + 'static {}

impl<F: Fn(&ScriptedRequest) -> ScriptedAnswer + Clone + Send + Sync + 'static> Script for F {}

fn assert_not_whole(answer: &Answer, place: usize, body: &str) {
    let looks_whole = answer.status == 200 && answer.is_whole;
    assert!(!looks_whole || answer.body == body, "stopped after {place} bytes: {answer:?}");
}

/// Guards against an answer that stopped in its head and reaches the caller as an empty or short one.
#[test_case(Framing::Length, Ending::Closed; "length, closed")]
#[test_case(Framing::Length, Ending::Reset; "length, reset")]
#[test_case(Framing::Chunks, Ending::Closed; "chunks, closed")]
#[test_case(Framing::Chunks, Ending::Reset; "chunks, reset")]
#[test_case(Framing::Connection, Ending::Closed; "connection, closed")]
#[test_case(Framing::Connection, Ending::Reset; "connection, reset")]
fn answer_that_stops_is_not_whole(framing: Framing, ending: Ending) {
    let script = move |request: &ScriptedRequest| {
        stopped(request, answer(&request.id, framing, "text/plain", BODY), ending)
    };
    let (fleet, _replicas) = start(&format!("answer-{framing:?}-{ending:?}"), "tools", script);
    // As long as the ids of the requests below.
    let example = answer("cut-000-look-0", framing, "text/plain", BODY);
    for place in places(framing, &example).step_by(STEP) {
        for (method, path) in [("GET", "look"), ("POST", "send")] {
            let id = format!("cut-{place:03}-{path}-0");
            let path = format!("/{path}/{place}");
            let request = match method {
                "GET" => ClientRequest::get(&path, &id),
                _ => ClientRequest::post(&path, &id, &id),
            };
            assert_not_whole(&fleet.doors[0].send(&request), place, BODY);
        }
    }
}

/// Guards against a stream whose head stopped, at its first replica or where it is resumed, and that looks whole.
#[test_case(Framing::Length, Ending::Closed; "length, closed")]
#[test_case(Framing::Chunks, Ending::Closed; "chunks, closed")]
#[test_case(Framing::Chunks, Ending::Reset; "chunks, reset")]
#[test_case(Framing::Connection, Ending::Closed; "connection, closed")]
fn stream_that_stops_is_not_whole(framing: Framing, ending: Ending) {
    let kind = "text/event-stream";
    let script = move |request: &ScriptedRequest| match (&request.last_event, request.id.ends_with("begun")) {
        // Its first replica breaks off inside the second event; the answer of the next one stops.
        (None, true) => ScriptedAnswer {
            bytes: answer(&request.id, Framing::Connection, kind, "id: 1\ndata: word1\n\nid: 2\nda"),
            ending: Ending::Closed,
        },
        (Some(last), _) => {
            let rest = if last == "1" { "id: 2\ndata: word2\n\n" } else { "" };
            stopped(request, answer(&request.id, framing, kind, rest), ending)
        }
        (None, false) => stopped(request, answer(&request.id, framing, kind, EVENTS), ending),
    };
    let (fleet, replicas) = start(&format!("stream-{framing:?}-{ending:?}"), "models", script);
    let example = answer("cut-000-chat-first", framing, kind, EVENTS);
    for place in places(framing, &example).step_by(STEP) {
        for when in ["first", "begun"] {
            let id = format!("cut-{place:03}-chat-{when}");
            let request = ClientRequest::turn("/chat/t", &id, &id, &id, 10_000, 100);
            let answer = fleet.doors[0].send(&request);
            let looks_whole = answer.status == 200 && answer.is_whole;
            assert!(!looks_whole || answer.events() == ["word1", "word2"], "{place} {when}: {answer:?}");
        }
    }
    let resumed = replicas.iter().flat_map(ScriptedReplica::runs).filter(|run| run.last_event.is_some());
    assert!(resumed.count() > 10, "streams were resumed");
}

/// Guards against the rest of an answer that stopped on a connection which had brought a whole one.
#[test]
fn second_answer_that_stops_is_not_whole() {
    let script = |request: &ScriptedRequest| {
        stopped(request, answer(&request.id, Framing::Length, "text/plain", BODY), Ending::Closed)
    };
    let (fleet, replicas) = start("second", "tools", script);
    let example = answer("cut-000-kept", Framing::Length, "text/plain", BODY);
    for place in (0..example.len()).step_by(STEP) {
        let warm = fleet.doors[0].send(&ClientRequest::get(&format!("/look/warm-{place}"), "warm"));
        assert_eq!((warm.status, warm.body.as_str()), (200, BODY));
        let id = format!("cut-{place:03}-kept");
        let answer = fleet.doors[0].send(&ClientRequest::get(&format!("/look/{id}"), &id));
        assert_not_whole(&answer, place, BODY);
    }
    let kept = replicas.iter().flat_map(ScriptedReplica::runs).filter(|run| run.number > 1);
    assert!(kept.filter(|run| run.id.ends_with("kept")).count() > 10, "connections were used again");
}

//! streams that break off, and what the replica at which they are resumed answers.

mod fleet;

use flamingo_standins::replica::Ending;
use flamingo_standins::replica::ScriptedAnswer;
use flamingo_standins::replica::ScriptedReplica;
use flamingo_standins::replica::ScriptedRequest;
use fleet::ClientRequest;
use fleet::Fleet;
use test_case::test_case;

/// turns that are sent; each may meet the scripted replica first or not.
const TURNS: usize = 8;
/// what a caller must not find in its stream.
const ERROR_TEXT: &str = "oops";
/// headers of an event stream.
const STREAM: &str = "content-type: text/event-stream\r\n";

fn head(status: &str, request: &ScriptedRequest, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\nx-request-id: {}\r\nx-response-signature: sig\r\n{headers}\r\n", request.id)
}

fn events(numbers: std::ops::RangeInclusive<usize>) -> String {
    numbers.map(|number| format!("id: {number}\ndata: word{number}\n\n")).collect()
}

/// the first two events, and the beginning of the third.
fn broken_stream(request: &ScriptedRequest) -> String {
    head("200 OK", request, STREAM) + &events(1..=2) + "id: 3\nda"
}

/// Guards against an error in the middle of a stream, and a stream that looks complete without its end.
#[test_case("500 Internal Server Error", "content-length: 6\r\n", "oops\n\n"; "failure")]
#[test_case("200 OK", "content-type: text/html\r\ncontent-length: 19\r\n", "<p>oops</p>\n\n\n\n\n\n\n\n"; "page")]
#[test_case("200 OK", "content-type: text/html\r\n", "<p>oops</p>\n\n"; "page without length")]
#[test_case("200 OK", "content-length: 6\r\n", "oops\n\n"; "success without type")]
#[test_case("200 OK", STREAM, "HTTP/1.1 500 oops"; "stream that ends inside an event")]
#[test_case("404 Not Found", STREAM, "data: oops\n\n"; "failure that looks like a stream")]
fn error_at_a_resumed_stream_stays_out_of_it(
    status: &'static str,
    headers: &'static str,
    body: &'static str,
) {
    let mut fleet = Fleet::start(&format!("resume-{}-{}-{}", &status[..3], headers.len(), body.len()), 1);
    let tries = serde_json::json!({ "resumable": true, "max_attempts": 3 });
    fleet.put_config(&serde_json::json!([fleet::route("chat", "/chat/", "streaming", "models", tries)]));
    fleet
        .wait("the new route is in force", || fleet.doors[0].lines_with("configuration activated").len() > 1);
    let script = move |request: &ScriptedRequest| {
        let bytes = match request.last_event {
            None => broken_stream(request),
            Some(_) => head(status, request, headers) + body,
        };
        ScriptedAnswer { bytes, ending: Ending::Closed }
    };
    let (first, second) = (ScriptedReplica::start(script), ScriptedReplica::start(script));
    let (first, second) = (first.expect("a replica starts"), second.expect("a replica starts"));
    fleet.replace_with_scripted(&first, "models", &[]);
    fleet.add_scripted("scripted-2", &second, "models");
    fleet.wait("both replicas get requests", || {
        fleet.doors[0].send(&ClientRequest::turn("/chat/t", "first", "x", "first", 10_000, 100));
        !first.runs().is_empty() && !second.runs().is_empty()
    });
    for number in 0..TURNS {
        let id = format!("turn-{number}");
        let answer = fleet.doors[0].send(&ClientRequest::turn("/chat/t", &id, &id, &id, 10_000, 100));
        assert!(!answer.body.contains(ERROR_TEXT), "{answer:?}");
        assert!(!answer.is_whole || answer.status != 200, "the stream has no end: {answer:?}");
        assert!(answer.events().len() <= 2 || answer.status != 200, "{answer:?}");
    }
    let resumed = first.runs().into_iter().chain(second.runs()).filter(|run| run.last_event.is_some());
    assert!(resumed.count() > 0, "a stream was resumed");
}

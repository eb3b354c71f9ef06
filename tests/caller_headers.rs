//! header parsing and filtering for callers' requests and replicas' answers.

use std::time::Duration;

use flamingostand::platform::AnswerClass;
use flamingostand::platform::CallerRequest;
use flamingostand::platform::ForwardOptions;
use flamingostand::platform::TakeUp;
use flamingostand::platform::caller_headers;
use flamingostand::platform::classify_answer;
use flamingostand::platform::keep_alive_timeout;
use flamingostand::platform::replica_headers;
use flamingostand::workspace::Principal;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use test_case::test_case;

fn headers(rows: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in rows {
        let name: HeaderName = name.parse().expect("a name");
        headers.append(name, HeaderValue::from_str(value).expect("a value"));
    }
    headers
}

#[test]
fn turn_headers() {
    let read = CallerRequest::from_headers(&headers(&[
        ("X-Request-Id", "a1"),
        ("X-Deadline-Ms", "3000"),
        ("X-Program-Id", "p"),
        ("X-Token-Budget", "2304"),
        ("X-Token-Count", "1840,288"),
        ("X-Previous-Turn", "a0"),
    ]));
    assert_eq!(read.id.as_deref(), Some("a1"));
    assert_eq!((read.timeout_ms, read.budget_tokens), (Some(3_000), Some(2_304)));
    assert_eq!((read.prompt_tokens, read.max_output_tokens), (Some(1_840), Some(288)));
    assert_eq!(read.previous_turn.as_deref(), Some("a0"));
    let invalid = CallerRequest::from_headers(&headers(&[("X-Deadline-Ms", "soon"), ("X-Token-Count", ",")]));
    assert_eq!(invalid, CallerRequest::default(), "an invalid value counts as absent");
}

/// Guards against a take-up that is taken for a new stream, and against a guess at the stream that it means.
#[test_case(&[], None; "no stream")]
#[test_case(&[("Last-Event-Id", "")], None; "no event")]
#[test_case(&[("Last-Event-Id", "4")], Some(None); "no attempt")]
#[test_case(&[("Last-Event-Id", "4"), ("Resumes", " ")], Some(None); "empty attempt")]
#[test_case(&[("Last-Event-Id", "4"), ("Resumes", "a1")], Some(Some("a1")); "one attempt")]
#[test_case(&[("Resumes", "a1")], Some(Some("a1")); "attempt without an event")]
#[test_case(&[("Resumes", "a1"), ("Resumes", "a1")], Some(Some("a1")); "attempt named twice")]
#[test_case(&[("Resumes", "a1"), ("Resumes", "a2")], Some(None); "two attempts")]
fn streams_taken_up(rows: &[(&str, &str)], attempt: Option<Option<&str>>) {
    let read = CallerRequest::from_headers(&headers(rows)).take_up;
    assert_eq!(read, attempt.map(|attempt| TakeUp { attempt: attempt.map(str::to_owned) }));
}

#[test]
fn headers_sent_to_replicas() {
    let caller = headers(&[
        ("Host", "a.example"),
        ("Connection", "keep-alive, X-Hop"),
        ("X-Hop", "1"),
        ("Transfer-Encoding", "chunked"),
        ("X-Hold", "smuggled"),
        ("Kv-From", "10.0.0.1:1/2"),
        ("X-Pin-Ms", "1000"),
        ("X-Expect-Instance", "i-other"),
        ("X-Deadline-Ms", "3000"),
        ("X-Affinity-Key", "17"),
    ]);
    let order = ForwardOptions {
        replica: "i-1",
        timeout: Duration::from_millis(1_234),
        last_event_id: Some("5"),
        principal: &Principal::Unscoped,
    };
    let sent = replica_headers(&caller, &order);
    let mut names: Vec<&str> = sent.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["host", "last-event-id", "x-affinity-key", "x-deadline-ms", "x-expect-instance"]);
    assert_eq!(sent["x-deadline-ms"], "1234");
    assert_eq!(sent["x-expect-instance"], "i-1");
}

#[test_case(200, &[("X-Request-Id", "a"), ("X-Response-Signature", "s")], AnswerClass::Usable; "signed")]
#[test_case(200, &[("X-Request-Id", "a")], AnswerClass::Foreign; "unsigned success")]
#[test_case(200, &[("X-Response-Signature", "s")], AnswerClass::Foreign; "success without id")]
#[test_case(200, &[("X-Request-Id", "b"), ("X-Response-Signature", "s")], AnswerClass::Foreign; "another id")]
#[test_case(503, &[("X-Not-Executed", "1")], AnswerClass::NotRun; "shed")]
#[test_case(503, &[("X-Request-Id", "a")], AnswerClass::Usable; "failed after it ran")]
#[test_case(500, &[], AnswerClass::Usable; "failure without headers")]
#[test_case(421, &[("X-Instance-Id", "i-2")], AnswerClass::OtherReplica; "another replica")]
#[test_case(200, &[("X-Request-Id", "a"), ("X-Response-Signature", "s"), ("Content-Encoding", "gzip")], AnswerClass::Foreign; "encoded")]
fn answer_head_is_classified(status: u16, rows: &[(&str, &str)], expected: AnswerClass) {
    let status = StatusCode::from_u16(status).expect("a status");
    assert_eq!(classify_answer(status, &headers(rows), Some("a"), true), expected);
}

#[test_case(&[], None; "says nothing")]
#[test_case(&[("Keep-Alive", "timeout=5, max=9")], Some(5); "five seconds")]
#[test_case(&[("Connection", "Close")], Some(0); "closes")]
fn connection_idle_timeout(rows: &[(&str, &str)], seconds: Option<u64>) {
    assert_eq!(keep_alive_timeout(&headers(rows)), seconds.map(Duration::from_secs));
}

#[test]
fn headers_sent_to_callers() {
    let answer = headers(&[
        ("X-Response-Signature", "s"),
        ("Connection", "close"),
        ("Content-Length", "3"),
        ("Retry-After", "9"),
    ]);
    let kept = caller_headers(&answer);
    assert_eq!(kept.keys().map(HeaderName::as_str).collect::<Vec<_>>(), ["x-response-signature"]);
}

/// Guards against taking an earlier answer that is written once more for the one to this request.
#[test_case(503, &[("X-Not-Executed", "1"), ("X-Request-Id", "a")], AnswerClass::NotRun; "own refusal")]
#[test_case(503, &[("X-Not-Executed", "1")], AnswerClass::Foreign; "refusal without id")]
#[test_case(421, &[("X-Instance-Id", "i-2")], AnswerClass::Foreign; "another replica without id")]
#[test_case(421, &[("X-Instance-Id", "i-2"), ("X-Request-Id", "a")], AnswerClass::OtherReplica; "another replica")]
#[test_case(500, &[], AnswerClass::Foreign; "failure without id")]
fn later_answer_is_classified(status: u16, rows: &[(&str, &str)], expected: AnswerClass) {
    let status = StatusCode::from_u16(status).expect("a status");
    assert_eq!(classify_answer(status, &headers(rows), Some("a"), false), expected);
}

//! replicas that never stop sending: a door closes the connection, answers correctly and bounds its memory.
//! Load: many concurrent requests to a replica that sends as fast as it can.

mod fleet;

use flamingo_standins::replica::EndlessPart;
use flamingo_standins::replica::EndlessReplica;
use fleet::ClientRequest;
use fleet::Fleet;
use test_case::test_case;

/// concurrent requests.
const CALLERS: usize = 12;
/// request timeout: far longer than it takes to reach any size limit, even on a busy machine.
const WAIT_MS: u64 = 60_000;
/// memory of the smallest front machine in any deployment.
const MACHINE_MB: u64 = 88;
/// token limit of a turn, and the budget of its program.
const TURN_TOKENS: u64 = 100;

/// sends concurrent requests to an endless replica; returns the answers once the door has closed all its
/// connections.
fn send_many(
    name: &str,
    part: EndlessPart,
    callers: usize,
    request: impl Fn(usize) -> ClientRequest + Sync,
) -> (Fleet, Vec<fleet::Answer>) {
    let mut fleet = Fleet::start(name, 1);
    let long_timeout = serde_json::json!({ "timeout_ms": WAIT_MS });
    let resumable = serde_json::json!({ "timeout_ms": WAIT_MS, "resumable": true });
    let retained = serde_json::json!({ "timeout_ms": WAIT_MS, "retained": true, "retention_s": 60.0 });
    fleet.put_config(&serde_json::json!([
        fleet::route("send", "/send/", "non_idempotent", "tools", long_timeout),
        fleet::route("kept", "/kept/", "streaming", "models", retained),
        fleet::route("chat", "/chat/", "streaming", "models", resumable),
    ]));
    fleet.wait("the longer timeout is in force", || {
        fleet.doors[0].lines_with("configuration activated").len() > 1
    });
    let replica = EndlessReplica::start(part).expect("the replica starts");
    let request = &request;
    let service = if request(0).path.starts_with("/send/") { "tools" } else { "models" };
    fleet.replace_with_endless(&replica, service);
    fleet.wait("the door knows the replica", || {
        fleet.doors[0].lines_with("replica entry marks it as leaving").len() >= 2
    });
    let answers = std::thread::scope(|scope| {
        let fleet = &fleet;
        let callers: Vec<_> =
            (0..callers).map(|caller| scope.spawn(move || fleet.doors[0].send(&request(caller)))).collect();
        callers.into_iter().map(|caller| caller.join().expect("a caller finishes")).collect()
    });
    fleet.wait("the door closes its connections", || replica.closed() == replica.asked());
    println!("{name}: {} MB sent, peak {} MB", replica.sent_bytes() >> 20, fleet.doors[0].peak_memory_mb());
    (fleet, answers)
}

fn post_request(caller: usize) -> ClientRequest {
    let request = ClientRequest::post("/send/letter", &format!("letter-{caller}"), &format!("text {caller}"));
    request.with("X-Deadline-Ms", &WAIT_MS.to_string())
}

fn turn_request(caller: usize) -> ClientRequest {
    let program = format!("program-{caller}");
    let request = ClientRequest::turn(
        "/kept/t",
        &format!("chat-{caller}"),
        &program,
        &program,
        TURN_TOKENS,
        TURN_TOKENS,
    );
    request.with("X-Deadline-Ms", &WAIT_MS.to_string())
}

/// Guards against a door that reads an endless response head until it runs out of memory.
#[test_case(EndlessPart::HeadLines)]
#[test_case(EndlessPart::HeadValue)]
#[test_case(EndlessPart::Interim)]
#[test_case(EndlessPart::Junk)]
fn endless_head_is_no_answer(part: EndlessPart) {
    let name: &str = part.into();
    let (fleet, answers) = send_many(&format!("endless-{name}"), part, CALLERS, post_request);
    for answer in &answers {
        assert_eq!(answer.status, 502, "the request may have run: {answer:?}");
    }
    assert!(fleet.doors[0].peak_memory_mb() < MACHINE_MB);
}

/// Guards against a door that buffers an endless body until it is killed for its memory use.
#[test_case(EndlessPart::Chunks)]
#[test_case(EndlessPart::Unframed)]
fn endless_body_is_no_answer(part: EndlessPart) {
    let name: &str = part.into();
    let (fleet, answers) = send_many(&format!("endless-{name}"), part, CALLERS, post_request);
    for answer in &answers {
        assert_eq!((answer.status, answer.body.len()), (502, "answer_lost".len()), "{answer:?}");
    }
    assert!(fleet.doors[0].peak_memory_mb() < MACHINE_MB);
}

/// Guards against a turn that relays and stores more than its token limit.
#[test_case(EndlessPart::Events)]
#[test_case(EndlessPart::OneEvent)]
fn endless_turn_stops_at_its_tokens(part: EndlessPart) {
    let name: &str = part.into();
    let (fleet, answers) = send_many(&format!("endless-{name}"), part, CALLERS, turn_request);
    for answer in &answers {
        let tokens = answer.events().len() as u64 * fleet::TOKENS_PER_EVENT;
        assert!(!answer.is_whole && tokens <= TURN_TOKENS, "{tokens} tokens");
    }
    assert!(fleet.doors[0].peak_memory_mb() < MACHINE_MB);
}

/// Guards against surplus bytes after an answer that are buffered or parsed as the next answer.
#[test]
fn endless_rest_belongs_to_no_answer() {
    let (fleet, answers) = send_many("endless-rest", EndlessPart::AfterAnswer, CALLERS, post_request);
    for answer in &answers {
        assert_eq!((answer.status, answer.body.as_str()), (200, "done"), "{answer:?}");
    }
    assert!(fleet.doors[0].peak_memory_mb() < MACHINE_MB);
}

/// Guards against reading the endless body of a failure or a rejection until the door is killed.
#[test_case(EndlessPart::FailureBody, 502)]
#[test_case(EndlessPart::RejectionBody, 503)]
fn endless_failure_is_bounded(part: EndlessPart, status: u16) {
    let name: &str = part.into();
    let (fleet, answers) = send_many(&format!("endless-{name}"), part, MANY_CALLERS, post_request);
    for answer in &answers {
        assert_eq!(answer.status, status, "{answer:?}");
    }
    assert!(fleet.doors[0].peak_memory_mb() < MACHINE_MB, "{} MB", fleet.doors[0].peak_memory_mb());
}

/// Guards against reading an endless answer to the question which process of the replica answers, which comes before
/// new streams and streams that are taken up.
#[test]
fn endless_report_is_bounded() {
    let request = |caller: usize| {
        let mut request = turn_request(caller);
        request.path = "/chat/t".to_owned();
        request
    };
    let (fleet, answers) = send_many("endless-report", EndlessPart::Chunks, MANY_CALLERS, request);
    for answer in &answers {
        assert_eq!(answer.status, 503, "nothing has run: {answer:?}");
    }
    assert!(fleet.doors[0].peak_memory_mb() < MACHINE_MB, "{} MB", fleet.doors[0].peak_memory_mb());
}

/// concurrent turns that together would need more memory than the machine has, if each kept what is allowed for one.
const MANY_CALLERS: usize = 120;
/// deadline of a turn at a replica that goes on sending a little.
const SLOW_WAIT_MS: u64 = 4_000;

/// Guards against turns whose large events, or parts of one, add up until the door is killed for its memory use.
#[test_case(EndlessPart::LargeEvents)]
#[test_case(EndlessPart::SlowEvent)]
fn many_endless_turns_are_bounded_together(part: EndlessPart) {
    let name: &str = part.into();
    let request = |caller: usize| turn_request(caller).with("X-Deadline-Ms", &SLOW_WAIT_MS.to_string());
    let (fleet, answers) = send_many(&format!("endless-many-{name}"), part, MANY_CALLERS, request);
    for answer in &answers {
        // A refusal is whole, and nothing of the turn.
        assert!(!answer.is_whole || answer.status >= 500, "{} bytes", answer.body.len());
    }
    assert!(fleet.doors[0].peak_memory_mb() < MACHINE_MB, "{} MB", fleet.doors[0].peak_memory_mb());
}

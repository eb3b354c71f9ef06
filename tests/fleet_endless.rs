//! replicas whose bytes have no end: a door closes, says what is true, and keeps its memory. Pattern of load: many
//! requests at once at a replica that sends as fast as it can.

mod fleet;

use flamingo_standins::replica::EndlessPart;
use flamingo_standins::replica::EndlessReplica;
use fleet::ClientRequest;
use fleet::Fleet;
use test_case::test_case;

/// requests at once.
const CALLERS: usize = 12;
/// time that a request may take: far more than it takes to reach any bound of bytes, however busy the machine is.
const WAIT_MS: u64 = 60_000;
/// memory of the smallest front machine of any deployment.
const MACHINE_MB: u64 = 88;
/// the most that a turn may generate, and the tokens that it has left.
const TURN_TOKENS: u64 = 100;

/// what the callers got, once the door has closed all connections to the replica.
fn ask_many(
    name: &str,
    part: EndlessPart,
    ask: impl Fn(usize) -> ClientRequest + Sync,
) -> (Fleet, Vec<fleet::Answer>) {
    let mut fleet = Fleet::start(name, 1);
    let patient = serde_json::json!({ "timeout_ms": WAIT_MS });
    let retained = serde_json::json!({ "timeout_ms": WAIT_MS, "retained": true, "retention_s": 60.0 });
    fleet.put_config(&serde_json::json!([
        fleet::route("send", "/send/", "non_idempotent", "tools", patient),
        fleet::route("kept", "/kept/", "streaming", "models", retained),
    ]));
    fleet.wait("the longer timeout is in force", || {
        fleet.doors[0].lines_with("a configuration is in force").len() > 1
    });
    let replica = EndlessReplica::start(part).expect("the replica starts");
    let ask = &ask;
    let service = if ask(0).path.starts_with("/send/") { "tools" } else { "models" };
    fleet.add_endless(&replica, service);
    fleet.wait("the door knows the replica", || fleet.doors[0].lines_with("a replica is leaving").len() >= 2);
    let answers = std::thread::scope(|scope| {
        let fleet = &fleet;
        let callers: Vec<_> =
            (0..CALLERS).map(|caller| scope.spawn(move || fleet.doors[0].send(&ask(caller)))).collect();
        callers.into_iter().map(|caller| caller.join().expect("a caller ends")).collect()
    });
    fleet.wait("the door closes its connections", || replica.closed() == replica.asked());
    println!("{name}: {} MB sent, peak {} MB", replica.sent_bytes() >> 20, fleet.doors[0].peak_memory_mb());
    (fleet, answers)
}

fn letter(caller: usize) -> ClientRequest {
    let ask = ClientRequest::post("/send/letter", &format!("letter-{caller}"), &format!("text {caller}"));
    ask.with("X-Deadline-Ms", &WAIT_MS.to_string())
}

fn chat(caller: usize) -> ClientRequest {
    let program = format!("program-{caller}");
    let ask = ClientRequest::turn(
        "/kept/t",
        &format!("chat-{caller}"),
        &program,
        &program,
        TURN_TOKENS,
        TURN_TOKENS,
    );
    ask.with("X-Deadline-Ms", &WAIT_MS.to_string())
}

/// Guards against a door that reads heads without end until its memory is used up.
#[test_case(EndlessPart::HeadLines)]
#[test_case(EndlessPart::HeadValue)]
#[test_case(EndlessPart::Interim)]
#[test_case(EndlessPart::Junk)]
fn endless_head_is_no_answer(part: EndlessPart) {
    let name: &str = part.into();
    let (fleet, answers) = ask_many(&format!("endless-{name}"), part, letter);
    for answer in &answers {
        assert_eq!(answer.status, 502, "it may have run: {answer:?}");
    }
    assert!(fleet.doors[0].peak_memory_mb() < MACHINE_MB);
}

/// Guards against a door that keeps bodies without end in memory until it is killed.
#[test_case(EndlessPart::Chunks)]
#[test_case(EndlessPart::Unframed)]
fn endless_body_is_no_answer(part: EndlessPart) {
    let name: &str = part.into();
    let (fleet, answers) = ask_many(&format!("endless-{name}"), part, letter);
    for answer in &answers {
        assert_eq!((answer.status, answer.body.len()), (502, "answer_lost".len()), "{answer:?}");
    }
    assert!(fleet.doors[0].peak_memory_mb() < MACHINE_MB);
}

/// Guards against a turn that hands on, and keeps, more than it may generate.
#[test_case(EndlessPart::Events)]
#[test_case(EndlessPart::OneEvent)]
fn endless_turn_stops_at_its_tokens(part: EndlessPart) {
    let name: &str = part.into();
    let (fleet, answers) = ask_many(&format!("endless-{name}"), part, chat);
    for answer in &answers {
        let tokens = answer.events().len() as u64 * fleet::TOKENS_PER_EVENT;
        assert!(!answer.is_whole && tokens <= TURN_TOKENS, "{tokens} tokens");
    }
    assert!(fleet.doors[0].peak_memory_mb() < MACHINE_MB);
}

/// Guards against bytes after an answer that are kept, or taken for the next answer.
#[test]
fn endless_rest_belongs_to_no_answer() {
    let (fleet, answers) = ask_many("endless-rest", EndlessPart::AfterAnswer, letter);
    for answer in &answers {
        assert_eq!((answer.status, answer.body.as_str()), (200, "done"), "{answer:?}");
    }
    assert!(fleet.doors[0].peak_memory_mb() < MACHINE_MB);
}

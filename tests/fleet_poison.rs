//! a request that ends each replica that runs it, and comes again at any door: three replicas are lost, not one more.

mod fleet;

use std::time::Duration;

use flamingo_standins::replica::EndStage;
use flamingo_standins::replica::ReplicaFault;
use fleet::ClientRequest;
use fleet::Fleet;
use test_case::test_case;

/// replicas that may end under a content before it is refused everywhere.
const VICTIMS: usize = 3;
/// time in which all doors learn what one door has seen: a few reports.
const SPREAD: Duration = Duration::from_millis(1_000);
/// times that a content comes again.
const RETURNS: u32 = 5;
/// time that a caller waits for a replica that is silent.
const SHORT_WAIT_MS: &str = "400";

/// a fleet with five replicas of each service, which end under deadly requests.
fn start(name: &str, stage: EndStage) -> Fleet {
    let mut fleet = Fleet::start(name, 2);
    for number in 3..=5 {
        fleet.add_replica(&format!("model-{number}"), "models", fleet::EVENTS);
        fleet.add_replica(&format!("tool-{number}"), "tools", 0);
    }
    fleet.set_faults(ReplicaFault::EndUnder(stage));
    // A door that has not heard of the new replicas runs out of them before the third one has ended.
    std::thread::sleep(SPREAD);
    fleet
}

/// sends a request once through a door; replicas that ended under it are back before the next one.
fn send(fleet: &Fleet, door: usize, ask: &ClientRequest) -> u16 {
    let status = fleet.doors[door].send(ask).status;
    std::thread::sleep(SPREAD);
    fleet.restart_replicas();
    std::thread::sleep(SPREAD);
    status
}

/// sends a request again and again, through both doors in turn, and returns the statuses.
fn come_again(fleet: &Fleet, ask: &ClientRequest) -> Vec<u16> {
    (1..=RETURNS).map(|number| send(fleet, number as usize % 2, &ask.attempt(number))).collect()
}

fn look() -> ClientRequest {
    ClientRequest::get("/look/deadly", "look")
}

fn letter() -> ClientRequest {
    ClientRequest::post("/send/letter", "letter", "deadly")
}

fn chat() -> ClientRequest {
    ClientRequest::turn("/chat/t", "chat", "deadly", "program", 10_000, 100)
}

/// Guards against a count by request, in which an attempt that ends several replicas counts once.
#[test]
fn poison_counts_each_victim_of_an_attempt() {
    let fleet = start("poison-attempt", EndStage::BeforeHead);
    let statuses = come_again(&fleet, &look());
    assert_eq!(fleet.ends(), VICTIMS, "{statuses:?}");
    assert_eq!(statuses[2..], [503; 3]);
}

/// Guards against a stream that goes on at one replica after the other, each of which ends.
#[test]
fn poison_stream_is_not_resumed_for_ever() {
    let fleet = start("poison-resumed", EndStage::InBody);
    let answer = fleet.doors[0].send(&chat());
    assert!(!answer.is_whole, "{answer:?}");
    assert_eq!(fleet.ends(), VICTIMS, "{answer:?}");
}

/// Guards against replicas that end in the middle of an answer without being counted.
#[test_case(&letter(); "letter")]
#[test_case(&look(); "look")]
fn poison_counts_ends_in_a_body(ask: &ClientRequest) {
    let fleet = start(&format!("poison-body-{}", ask.id), EndStage::InBody);
    let statuses = come_again(&fleet, ask);
    assert_eq!(fleet.ends(), VICTIMS, "{statuses:?}");
}

/// Guards against replicas that end without closing their connections, and are not counted.
#[test_case(&letter(); "letter")]
#[test_case(&chat(); "stream")]
fn poison_counts_silent_ends(ask: &ClientRequest) {
    let fleet = start(&format!("poison-silent-{}", ask.id), EndStage::Silent);
    let statuses = come_again(&fleet, &ask.clone().with("X-Deadline-Ms", SHORT_WAIT_MS));
    assert_eq!(fleet.ends(), VICTIMS, "{statuses:?}");
}

/// Guards against a kept turn that is counted as one content and looked for as another.
#[test]
fn poison_turn_of_a_kept_program_is_recognised() {
    let fleet = start("poison-kept", EndStage::BeforeHead);
    let first = ClientRequest::turn("/kept/t", "first", "x", "program", 10_000, 100);
    assert_eq!(send(&fleet, 0, &first), 200);
    let next = ClientRequest::turn("/kept/t", "next", "deadly", "program", 10_000, 100).after("first");
    let statuses = come_again(&fleet, &next);
    assert_eq!(fleet.ends(), VICTIMS, "{statuses:?}");
    assert_eq!(statuses[VICTIMS..], [503; 2]);
}

/// Guards against a content that is not recognised when another program sends it.
#[test]
fn poison_of_another_program_is_recognised() {
    let fleet = start("poison-program", EndStage::BeforeHead);
    let ask = |number: u32| letter().attempt(number).with("X-Program-Id", &format!("program-{number}"));
    let statuses: Vec<u16> =
        (1..=RETURNS).map(|number| send(&fleet, number as usize % 2, &ask(number))).collect();
    assert_eq!(fleet.ends(), VICTIMS, "{statuses:?}");
}

/// Guards against a count that is lost when ledger nodes and doors start again.
#[test]
fn poison_count_outlives_restarts() {
    let mut fleet = start("poison-restarts", EndStage::BeforeHead);
    let letter = letter();
    let mut statuses = Vec::new();
    for number in 1..=RETURNS {
        statuses.push(send(&fleet, number as usize % 2, &letter.attempt(number)));
        fleet.restart_all();
    }
    assert_eq!(fleet.ends(), VICTIMS, "{statuses:?}");
}

/// Guards against victims that are forgotten because no ledger node could be told at once.
#[test]
fn poison_victims_are_told_after_an_outage() {
    let mut fleet = start("poison-outage", EndStage::BeforeHead);
    let letter = letter();
    for ledger in &mut fleet.ledgers {
        ledger.kill();
    }
    let mut statuses = vec![send(&fleet, 0, &letter.attempt(1))];
    for ledger in &mut fleet.ledgers {
        ledger.start();
    }
    fleet.wait("the ledger is back", || fleet.doors[1].get_readiness() == 200);
    std::thread::sleep(SPREAD);
    for number in 2..=RETURNS {
        statuses.push(send(&fleet, 1, &letter.attempt(number)));
    }
    assert_eq!(fleet.ends(), VICTIMS, "{statuses:?}");
}

/// Guards against a door that does not act on what it has seen itself while no ledger node answers.
#[test]
fn poison_seen_by_the_door_is_refused_without_the_ledger() {
    let mut fleet = start("poison-alone", EndStage::BeforeHead);
    for ledger in &mut fleet.ledgers {
        ledger.kill();
    }
    let letter = letter();
    let statuses: Vec<u16> = (1..=RETURNS).map(|number| send(&fleet, 0, &letter.attempt(number))).collect();
    assert_eq!(fleet.ends(), VICTIMS, "{statuses:?}");
    assert_eq!(statuses[VICTIMS..], [503; 2]);
}

/// Guards against a look-up without a body that is refused because of what another program's look-up did.
#[test]
fn poison_path_alone_is_no_content() {
    let fleet = start("poison-path", EndStage::BeforeHead);
    let ask = |program: &str| look().with("X-Program-Id", program);
    for number in 1..=VICTIMS as u32 {
        send(&fleet, 0, &ask("author").attempt(number));
    }
    fleet.set_faults(ReplicaFault::None);
    assert_eq!(send(&fleet, 0, &ask("author").attempt(RETURNS)), 503);
    assert_eq!(send(&fleet, 0, &ask("reader")), 200);
}

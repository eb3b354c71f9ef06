//! requests that end replicas and have only a part in common: the caller's input, or the path.

mod fleet;

use std::thread::sleep;

use flamingo_standins::replica::EndStage;
use flamingo_standins::replica::ReplicaFault;
use fleet::Answer;
use fleet::ClientRequest;
use fleet::Fleet;
use fleet::deadly::PROPAGATION_TIME;
use fleet::deadly::start_deadly;
use test_case::test_case;

/// replicas of each service: more than any request may end.
const REPLICAS: usize = 8;
/// programs that send the part which ends replicas, one after the other.
const PROGRAMS: usize = 8;
/// replicas that may end: the limit, and one more that shows that the programs have no more in common than that part.
const MAX_ENDS: usize = 4;

/// sends a request; replicas that it ended are listed again before this returns.
fn send(fleet: &Fleet, door: usize, request: &ClientRequest) -> Answer {
    let answer = fleet.doors[door].send(request);
    sleep(PROPAGATION_TIME);
    fleet.restart_replicas();
    sleep(PROPAGATION_TIME);
    answer
}

fn turn(path: &str, id: &str, body: &str) -> ClientRequest {
    ClientRequest::turn(path, id, body, &format!("program-{id}"), 10_000, 100)
}

/// Guards against an input that ends one replica after the other because each program sends it after another
/// conversation.
#[test]
fn input_after_other_conversations_is_recognised() {
    let fleet = start_deadly("poison-input", EndStage::BeforeHead, REPLICAS);
    let mut statuses = Vec::new();
    for number in 0..PROGRAMS {
        let (first, next) = (format!("first-{number}"), format!("next-{number}"));
        let begin = turn("/kept/t", &first, &format!("conversation {number}"));
        assert_eq!(fleet.doors[number % 2].send(&begin).status, 200, "conversations are served");
        let program = format!("program-{first}");
        let go_on = turn("/kept/t", &next, "deadly").with("X-Program-Id", &program).after(&first);
        statuses.push(send(&fleet, number % 2, &go_on).status);
    }
    assert!(fleet.ends() <= MAX_ENDS, "{} ends: {statuses:?}", fleet.ends());
    assert_eq!(statuses[MAX_ENDS..], [503; PROGRAMS - MAX_ENDS]);
}

/// Guards against a path whose requests end one replica after the other because each of them has another body, or
/// another program sends it.
#[test_case(|number| turn("/chat/deadly", &format!("t{number}"), &format!("deadly {number}")); "bodies")]
#[test_case(|number| ClientRequest::get("/look/deadly", &format!("g{number}"))
    .with("X-Program-Id", &format!("program-{number}")); "programs")]
fn path_with_other_bodies_is_recognised(request: fn(usize) -> ClientRequest) {
    let fleet = start_deadly(&format!("poison-path-{}", request(0).method), EndStage::BeforeHead, REPLICAS);
    let answers: Vec<Answer> =
        (0..PROGRAMS).map(|number| send(&fleet, number % 2, &request(number))).collect();
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    assert!(fleet.ends() <= MAX_ENDS, "{} ends: {statuses:?}", fleet.ends());
    assert_eq!(statuses[MAX_ENDS..], [503; PROGRAMS - MAX_ENDS]);
    let other = turn("/chat/other", "other", "other");
    assert_eq!(fleet.doors[0].send(&other).status, 200, "other paths are served");
}

/// Guards against a path that is refused to all because of some of the requests that are sent to it.
#[test]
fn path_that_answers_others_is_not_refused() {
    let fleet = start_deadly("poison-busy-path", EndStage::BeforeHead, REPLICAS);
    for number in 0..PROGRAMS {
        for door in 0..2 {
            let other = turn("/chat/t", &format!("other-{number}-{door}"), &format!("other {number}"));
            assert_eq!(fleet.doors[door].send(&other).status, 200, "request {number} at door {door}");
        }
        send(&fleet, number % 2, &turn("/chat/t", &format!("deadly-{number}"), "deadly"));
    }
    assert!(fleet.ends() <= MAX_ENDS, "{} ends", fleet.ends());
}

/// Guards against a content that stays refused although it has been answered since its replicas ended.
#[test]
fn answered_content_is_not_refused() {
    let fleet = start_deadly("poison-answered", EndStage::BeforeHead, REPLICAS);
    let request = ClientRequest::post("/send/letter", "letter", "deadly");
    for number in 1..=2 {
        send(&fleet, 0, &request.attempt(number));
    }
    fleet.set_faults(ReplicaFault::None);
    assert_eq!(send(&fleet, 1, &request.attempt(3)).status, 200);
    fleet.set_faults(ReplicaFault::EndUnder(EndStage::BeforeHead));
    send(&fleet, 0, &request.attempt(4));
    fleet.set_faults(ReplicaFault::None);
    assert_eq!(send(&fleet, 0, &request.attempt(5)).status, 200, "one end since it was answered");
}

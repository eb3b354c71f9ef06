//! a request that ends each replica that runs it, retried through any door: exactly three replicas are lost.

mod fleet;

use std::net::TcpStream;
use std::time::Duration;

use flamingo_standins::replica::EndStage;
use flamingo_standins::replica::ReplicaFault;
use fleet::ClientRequest;
use fleet::Fleet;
use fleet::deadly::PROPAGATION_TIME;
use fleet::deadly::SHORT_DEADLINE_MS;
use fleet::deadly::get_request;
use fleet::deadly::post_request;
use fleet::deadly::start_deadly;
use fleet::deadly::stream_request;
use test_case::test_case;

/// strike limit: replicas that may end while running a content before all doors refuse it.
const STRIKE_LIMIT: usize = 3;
/// number of attempts with the same content.
const ATTEMPTS: u32 = 5;
/// a fleet with five replicas of each service, which end while running a deadly request.
fn start(name: &str, stage: EndStage) -> Fleet {
    start_deadly(name, stage, 5)
}

/// sends a request once through a door; replicas that it ended are restarted before this returns.
fn send(fleet: &Fleet, door: usize, request: &ClientRequest) -> u16 {
    let status = fleet.doors[door].send(request).status;
    std::thread::sleep(PROPAGATION_TIME);
    fleet.restart_replicas();
    std::thread::sleep(PROPAGATION_TIME);
    status
}

/// sends all attempts of a request, alternating between both doors; returns the statuses.
fn send_attempts(fleet: &Fleet, request: &ClientRequest) -> Vec<u16> {
    (1..=ATTEMPTS).map(|number| send(fleet, number as usize % 2, &request.attempt(number))).collect()
}

/// Guards against counting strikes by request: an attempt that ends several replicas would count once.
#[test]
fn poison_counts_each_victim_of_an_attempt() {
    let fleet = start("poison-attempt", EndStage::BeforeHead);
    let statuses = send_attempts(&fleet, &get_request());
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{statuses:?}");
    assert_eq!(statuses[2..], [503; 3]);
}

/// Guards against a stream that is resumed at one replica after the other, ending each of them.
#[test]
fn poison_stream_is_not_resumed_for_ever() {
    let fleet = start("poison-resumed", EndStage::InBody);
    let answer = fleet.doors[0].send(&stream_request());
    assert!(!answer.is_whole, "{answer:?}");
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{answer:?}");
}

/// Guards against missed strikes of replicas that end in the middle of an answer.
#[test_case(&post_request(); "letter")]
#[test_case(&get_request(); "look")]
fn poison_counts_ends_in_a_body(request: &ClientRequest) {
    let fleet = start(&format!("poison-body-{}", request.id), EndStage::InBody);
    let statuses = send_attempts(&fleet, request);
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{statuses:?}");
}

/// Guards against missed strikes of replicas that end without closing their connections.
#[test_case(&post_request(); "letter")]
#[test_case(&stream_request(); "stream")]
fn poison_counts_silent_ends(request: &ClientRequest) {
    let fleet = start(&format!("poison-silent-{}", request.id), EndStage::Silent);
    let statuses = send_attempts(&fleet, &request.clone().with("X-Deadline-Ms", SHORT_DEADLINE_MS));
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{statuses:?}");
}

/// Guards against a retained turn whose strikes are recorded and looked up under different contents.
#[test]
fn poison_turn_of_a_kept_program_is_recognised() {
    let fleet = start("poison-kept", EndStage::BeforeHead);
    let first = ClientRequest::turn("/kept/t", "first", "x", "program", 10_000, 100);
    assert_eq!(send(&fleet, 0, &first), 200);
    let next = ClientRequest::turn("/kept/t", "next", "deadly", "program", 10_000, 100).after("first");
    let statuses = send_attempts(&fleet, &next);
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{statuses:?}");
    assert_eq!(statuses[STRIKE_LIMIT..], [503; 2]);
}

/// Guards against a content that is not recognised when another program sends it.
#[test]
fn poison_of_another_program_is_recognised() {
    let fleet = start("poison-program", EndStage::BeforeHead);
    let request =
        |number: u32| post_request().attempt(number).with("X-Program-Id", &format!("program-{number}"));
    let statuses: Vec<u16> =
        (1..=ATTEMPTS).map(|number| send(&fleet, number as usize % 2, &request(number))).collect();
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{statuses:?}");
}

/// Guards against strikes that are lost when ledger nodes and doors restart.
#[test]
fn poison_count_outlives_restarts() {
    let mut fleet = start("poison-restarts", EndStage::BeforeHead);
    let request = post_request();
    let mut statuses = Vec::new();
    for number in 1..=ATTEMPTS {
        statuses.push(send(&fleet, number as usize % 2, &request.attempt(number)));
        fleet.restart_all();
    }
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{statuses:?}");
}

/// Guards against strikes that are lost because no ledger node could store them at once.
#[test]
fn poison_strikes_are_stored_after_an_outage() {
    let mut fleet = start("poison-outage", EndStage::BeforeHead);
    let request = post_request();
    for ledger in &mut fleet.ledgers {
        ledger.kill();
    }
    let mut statuses = vec![send(&fleet, 0, &request.attempt(1))];
    for ledger in &mut fleet.ledgers {
        ledger.start();
    }
    fleet.wait("the ledger is back", || fleet.doors[1].get_readiness() == 200);
    std::thread::sleep(PROPAGATION_TIME);
    for number in 2..=ATTEMPTS {
        statuses.push(send(&fleet, 1, &request.attempt(number)));
    }
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{statuses:?}");
}

/// Guards against a door that ignores strikes of its own while no ledger node answers.
#[test]
fn poison_seen_by_the_door_is_refused_without_the_ledger() {
    let mut fleet = start("poison-alone", EndStage::BeforeHead);
    for ledger in &mut fleet.ledgers {
        ledger.kill();
    }
    let request = post_request();
    let statuses: Vec<u16> = (1..=ATTEMPTS).map(|number| send(&fleet, 0, &request.attempt(number))).collect();
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{statuses:?}");
    assert_eq!(statuses[STRIKE_LIMIT..], [503; 2]);
}

/// Guards against refusing a request without a body because of strikes from another program at the same path.
#[test]
fn poison_path_alone_is_no_content() {
    let fleet = start("poison-path", EndStage::BeforeHead);
    let request = |program: &str| get_request().with("X-Program-Id", program);
    for number in 1..=STRIKE_LIMIT as u32 {
        send(&fleet, 0, &request("author").attempt(number));
    }
    fleet.set_faults(ReplicaFault::None);
    assert_eq!(send(&fleet, 0, &request("author").attempt(ATTEMPTS)), 503);
    assert_eq!(send(&fleet, 0, &request("reader")), 200);
}

/// number of replicas and attempts where nothing but the strike limit ends the series.
const MANY: usize = 8;
/// interval between attempts that come before a silent replica is missed.
const FAST_INTERVAL: Duration = Duration::from_millis(1_000);

/// sends `MANY` attempts through alternating doors; `after` runs between them.
fn send_many(fleet: &Fleet, request: &ClientRequest, after: impl Fn(&Fleet)) -> Vec<u16> {
    let request = request.clone().with("X-Deadline-Ms", SHORT_DEADLINE_MS);
    let mut statuses = Vec::new();
    for number in 1..=MANY {
        statuses.push(fleet.doors[number % 2].send(&request.attempt(number as u32)).status);
        after(fleet);
    }
    statuses
}

/// Guards against taking a replica that fell silent for innocent because it came back under a new id.
#[test_case(&post_request(); "letter")]
#[test_case(&get_request(); "look")]
#[test_case(&stream_request(); "stream")]
fn poison_counts_replicas_that_return_under_a_new_id(request: &ClientRequest) {
    let fleet = start_deadly(&format!("poison-new-id-{}", request.id), EndStage::Silent, MANY);
    let statuses = send_many(&fleet, request, |fleet| {
        std::thread::sleep(PROPAGATION_TIME);
        fleet.replace_replicas();
        std::thread::sleep(PROPAGATION_TIME);
    });
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{statuses:?}");
    assert_eq!(statuses[STRIKE_LIMIT..], [503; MANY - STRIKE_LIMIT]);
}

/// Guards against counting silent replicas only once their entries have lapsed, when the request has reached
/// others meanwhile.
#[test_case(&post_request(); "letter")]
#[test_case(&get_request(); "look")]
fn poison_counts_silent_replicas_that_stay_listed(request: &ClientRequest) {
    let fleet = start_deadly(&format!("poison-listed-{}", request.id), EndStage::Silent, MANY);
    let statuses = send_many(&fleet, request, |_| std::thread::sleep(FAST_INTERVAL));
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{statuses:?}");
    assert_eq!(statuses[STRIKE_LIMIT..], [503; MANY - STRIKE_LIMIT]);
}

/// Guards against taking a replica for alive because its next process listens at the address before the list
/// names it.
#[test_case(&post_request(); "letter")]
#[test_case(&get_request(); "look")]
fn poison_counts_replicas_that_listen_again_at_once(request: &ClientRequest) {
    let fleet = start_deadly(&format!("poison-back-{}", request.id), EndStage::InBodyAndBack, MANY);
    let statuses = send_many(&fleet, request, |fleet| {
        std::thread::sleep(PROPAGATION_TIME);
        fleet.register_replicas();
        std::thread::sleep(PROPAGATION_TIME);
    });
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{statuses:?}");
}

/// Guards against runs that weigh nothing as long as their callers wait.
#[test]
fn poison_counts_runs_under_way_at_silent_replicas() {
    let fleet = start_deadly("poison-waiting", EndStage::Silent, MANY);
    let request = post_request();
    let waiting: Vec<TcpStream> = (1..=MANY)
        .map(|number| {
            let stream = fleet.open(number % 2, &request.attempt(number as u32));
            std::thread::sleep(Duration::from_millis(2_000));
            stream
        })
        .collect();
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{waiting:?}");
}

/// Guards against forgetting the unresolved runs of a door that is killed.
#[test]
fn poison_runs_of_a_killed_door_still_weigh() {
    let mut fleet = start_deadly("poison-killed-door", EndStage::Silent, MANY);
    let request = post_request().with("X-Deadline-Ms", SHORT_DEADLINE_MS);
    for number in 1..=MANY {
        fleet.doors[0].send(&request.attempt(number as u32));
        std::thread::sleep(PROPAGATION_TIME);
        fleet.doors[0].kill();
        fleet.doors[0].start();
        fleet.wait("the door is ready again", || fleet.doors[0].get_readiness() == 200);
        std::thread::sleep(PROPAGATION_TIME);
    }
    assert_eq!(fleet.ends(), STRIKE_LIMIT);
}

/// Guards against holding an innocent request whose answers were lost by replicas that are alive.
#[test]
fn unanswered_request_is_served_once_its_replicas_answer() {
    let fleet = start("poison-innocent", EndStage::BeforeHead);
    let request = post_request().with("X-Deadline-Ms", SHORT_DEADLINE_MS);
    let innocent =
        ClientRequest::post("/send/letter", "innocent", "innocent").with("X-Deadline-Ms", SHORT_DEADLINE_MS);
    fleet.set_faults(ReplicaFault::Mute);
    for number in 1..=STRIKE_LIMIT as u32 {
        assert_eq!(fleet.doors[0].send(&innocent.attempt(number)).status, 504);
    }
    fleet.set_faults(ReplicaFault::None);
    let refused = fleet.doors[0].send(&innocent.attempt(4));
    assert_eq!((refused.status, refused.body.as_str()), (503, "suspected"));
    assert_eq!(refused.header("retry-after"), Some("1"));
    assert_eq!(fleet.doors[0].send(&request).status, 200, "other requests are served");
    let mut attempts = 4;
    fleet.wait("the innocent request is served", || {
        attempts += 1;
        fleet.doors[1].send(&innocent.attempt(attempts)).status == 200
    });
}

//! a request that ends each replica that runs it, leaves no evidence, and comes back while the processes that know of
//! it are killed.

mod fleet;

use std::time::Duration;

use flamingo_standins::replica::EndStage;
use fleet::ClientRequest;
use fleet::Fleet;
use fleet::deadly::PROPAGATION_TIME;
use fleet::deadly::SHORT_DEADLINE_MS;
use fleet::deadly::get_request;
use fleet::deadly::post_request;
use fleet::deadly::start_deadly;
use test_case::test_case;

/// replicas that may end while running a content before all doors refuse it.
const STRIKE_LIMIT: usize = 3;
/// replicas, and attempts with the same content.
const MANY: usize = 8;

/// the next processes of replicas that have ended are listed, under new ids if they were down.
fn bring_back(fleet: &Fleet) {
    fleet.replace_replicas();
    fleet.register_replicas();
    std::thread::sleep(PROPAGATION_TIME);
}

/// Guards against runs without evidence that are forgotten when all doors and ledger nodes lose power.
#[test_case(EndStage::Silent, &post_request(); "letter at a silent replica")]
#[test_case(EndStage::Silent, &get_request(); "look at a silent replica")]
#[test_case(EndStage::InBodyAndBack, &post_request(); "letter at a replica that is back at once")]
fn poison_runs_without_evidence_outlive_restarts(stage: EndStage, request: &ClientRequest) {
    let mut fleet = start_deadly(&format!("poison-power-{}-{stage:?}", request.id), stage, MANY);
    let request = request.clone().with("X-Deadline-Ms", SHORT_DEADLINE_MS);
    let mut statuses = Vec::new();
    for number in 1..=MANY {
        statuses.push(fleet.doors[number % 2].send(&request.attempt(number as u32)).status);
        std::thread::sleep(PROPAGATION_TIME);
        fleet.restart_all();
        bring_back(&fleet);
    }
    assert_eq!(fleet.ends(), STRIKE_LIMIT, "{statuses:?}");
    assert_eq!(statuses[STRIKE_LIMIT..], [503; MANY - STRIKE_LIMIT]);
}

/// how long a run is under way when its door is killed.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(800);

/// Guards against a run that is forgotten because the door that runs it is killed.
#[test]
fn poison_run_in_flight_outlives_its_door() {
    let mut fleet = start_deadly("poison-in-flight", EndStage::Silent, MANY);
    let request = post_request();
    for number in 1..=MANY {
        let waiting = fleet.open(number % 2, &request.attempt(number as u32));
        std::thread::sleep(IN_FLIGHT_TIME);
        let door = &mut fleet.doors[number % 2];
        door.kill();
        drop(waiting);
        door.start();
        let name = door.name.clone();
        fleet.wait(&format!("{name} is ready again"), || fleet.doors[number % 2].get_readiness() == 200);
        bring_back(&fleet);
    }
    assert_eq!(fleet.ends(), STRIKE_LIMIT);
}

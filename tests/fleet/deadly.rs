//! requests that end each replica that runs them, and fleets whose replicas end so.

use std::time::Duration;

use flamingo_standins::replica::EndStage;
use flamingo_standins::replica::ReplicaFault;

use super::ClientRequest;
use super::EVENTS;
use super::Fleet;

/// time in which a strike reaches all doors: a few report intervals.
pub const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);
/// caller's deadline for a silent replica.
pub const SHORT_DEADLINE_MS: &str = "400";

/// a fleet with two doors and this many replicas of each service, which end while running a deadly request.
pub fn start_deadly(name: &str, stage: EndStage, replicas: usize) -> Fleet {
    let mut fleet = Fleet::start(name, 2);
    for number in 3..=replicas {
        fleet.add_replica(&format!("model-{number}"), "models", EVENTS);
        fleet.add_replica(&format!("tool-{number}"), "tools", 0);
    }
    fleet.set_faults(ReplicaFault::EndUnder(stage));
    // A door that does not know the new replicas yet would run out of replicas before the third one has
    // ended.
    std::thread::sleep(PROPAGATION_TIME);
    fleet
}

pub fn get_request() -> ClientRequest {
    ClientRequest::get("/look/deadly", "look")
}

pub fn post_request() -> ClientRequest {
    ClientRequest::post("/send/letter", "letter", "deadly")
}

pub fn stream_request() -> ClientRequest {
    ClientRequest::turn("/chat/t", "chat", "deadly", "program", 10_000, 100)
}

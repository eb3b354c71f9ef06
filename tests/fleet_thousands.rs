//! a platform with thousands of replicas, which doors receive in pages.

mod fleet;

use fleet::ClientRequest;
use fleet::Fleet;
use serde_json::json;

/// replica entries that fill several pages of 128 KiB.
const UNROUTED_REPLICAS: usize = 3_000;
/// memory limit of a process for control data, as stated in docs/CAPACITY.md.
const MEMORY_LIMIT_MB: u64 = 64;

#[test]
fn doors_that_start_learn_of_all_replicas() {
    let mut fleet = Fleet::start("thousands", 1);
    fleet.register_unrouted(UNROUTED_REPLICAS);
    // Registered last, so that it is on the last page.
    fleet.add_replica("late-1", "late", 4);
    let mut routes = fleet.default_routes();
    let late = fleet::route("late", "/late/", "streaming", "late", json!({}));
    routes.as_array_mut().expect("routes are a list").push(late);
    fleet.put_config(&routes);
    for number in 2..=4 {
        fleet.add_door(number);
    }
    for (number, door) in fleet.doors.iter().enumerate() {
        let mut attempts = 0;
        fleet.wait("the door knows the last replica", || {
            attempts += 1;
            door.send(&ClientRequest::get("/late/x", &format!("ask-{number}-{attempts}"))).status == 200
        });
    }
    for node in &fleet.ledgers {
        assert!(node.peak_memory_mb() < MEMORY_LIMIT_MB, "{}: {} MB", node.name, node.peak_memory_mb());
    }
}

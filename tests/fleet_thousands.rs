//! a platform with thousands of replicas, told to real doors in pages.

mod fleet;

use fleet::ClientRequest;
use fleet::Fleet;
use serde_json::json;

/// entries that fill several pages of 128 KiB.
const STRANGERS: usize = 3_000;
/// what a process may take for control, as docs/CAPACITY.md states it.
const MOST_MEMORY_MB: u64 = 64;

#[test]
fn doors_that_start_learn_of_all_replicas() {
    let mut fleet = Fleet::start("thousands", 1);
    fleet.list_strangers(STRANGERS);
    // Listed last, it is on the last page.
    fleet.add_replica("late-1", "late", 4);
    let mut routes = fleet.default_routes();
    let late = fleet::route("late", "/late/", "streaming", "late", json!({}));
    routes.as_array_mut().expect("routes are a list").push(late);
    fleet.put_config(&routes);
    for number in 2..=4 {
        fleet.add_door(number);
    }
    for (number, door) in fleet.doors.iter().enumerate() {
        let mut tries = 0;
        fleet.wait("the door knows the last replica", || {
            tries += 1;
            door.send(&ClientRequest::get("/late/x", &format!("ask-{number}-{tries}"))).status == 200
        });
    }
    for node in &fleet.ledgers {
        assert!(node.peak_memory_mb() < MOST_MEMORY_MB, "{}: {} MB", node.name, node.peak_memory_mb());
    }
}

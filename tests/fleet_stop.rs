//! planned stop of a door under load: callers use its address until the process has exited.

mod fleet;

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use flamingo_standins::replica::ReplicaFault;
use fleet::ClientRequest;
use fleet::Fleet;
use serde_json::json;

/// events of the stream that keeps the door open: at 20 ms each it lasts 3 s, within the grace period of 4 s.
const LONG_EVENTS: usize = 150;

/// a fleet with a route whose streams outlast the time after which a draining door closes connections.
fn fleet_with_long_stream(name: &str) -> Fleet {
    let mut fleet = Fleet::start(name, 1);
    fleet.add_replica("long-1", "long", LONG_EVENTS);
    let mut routes = fleet.default_routes();
    let long = fleet::route("long", "/long/", "streaming", "long", json!({ "timeout_ms": 9000 }));
    routes.as_array_mut().expect("routes are a list").push(long);
    fleet.put_config(&routes);
    // Doors receive the configuration and the replica within a few report intervals.
    sleep(Duration::from_millis(1_500));
    fleet
}

#[test]
fn accepted_requests_are_answered_until_the_end() {
    let fleet = fleet_with_long_stream("stop-load");
    let door = &fleet.doors[0];
    std::thread::scope(|scope| {
        let stream =
            scope.spawn(|| door.send(&ClientRequest::get("/long/s", "stream").with("X-Deadline-Ms", "9000")));
        sleep(Duration::from_millis(300));
        assert_eq!(fleet.run_count("stream"), 1, "the stream has begun");
        door.signal("TERM");
        let signalled_at = Instant::now();
        let mut answered = 0;
        while signalled_at.elapsed() < Duration::from_millis(2_400) {
            let answer = door.send(&ClientRequest::get("/look/x", &format!("look-{answered}")));
            let after_ms = signalled_at.elapsed().as_millis();
            assert_eq!(
                (answer.status, answer.is_whole),
                (200, true),
                "{after_ms} ms after the signal: {answer:?}"
            );
            answered += 1;
            sleep(Duration::from_millis(20));
        }
        let stream = stream.join().expect("the caller is answered");
        assert_eq!((stream.status, stream.is_whole), (200, true), "{stream:?}");
    });
}

/// Guards against requests that are taken late in the grace period and cut off at its end without an answer.
#[test]
fn late_requests_are_answered_or_refused() {
    let mut fleet = fleet_with_long_stream("stop-late");
    fleet.add_replica("slow-1", "slow", 2 * LONG_EVENTS / 3);
    let mut routes = fleet.default_routes();
    for (name, events) in [("long", LONG_EVENTS), ("slow", 2 * LONG_EVENTS / 3)] {
        let timeout_ms = if events == LONG_EVENTS { 9_000 } else { 3_000 };
        let route =
            fleet::route(name, &format!("/{name}/"), "streaming", name, json!({ "timeout_ms": timeout_ms }));
        routes.as_array_mut().expect("routes are a list").push(route);
    }
    fleet.put_config(&routes);
    sleep(Duration::from_millis(1_500));
    for replica in &fleet.tools {
        replica.set_fault(ReplicaFault::Mute);
    }
    let door = &fleet.doors[0];
    std::thread::scope(|scope| {
        door.signal("TERM");
        // Its stream keeps the door open nearly to the end of the grace period.
        scope.spawn(|| {
            sleep(Duration::from_millis(300));
            door.send(&ClientRequest::get("/long/s", "keeps-open").with("X-Deadline-Ms", "9000"))
        });
        let late: Vec<_> = [1_600, 1_900, 2_100, 2_500, 2_900]
            .into_iter()
            .flat_map(|at_ms| [("slow", at_ms), ("send", at_ms)])
            .map(|(kind, at_ms)| {
                scope.spawn(move || {
                    sleep(Duration::from_millis(at_ms));
                    let id = format!("{kind}-{at_ms}");
                    let request = match kind {
                        "slow" => ClientRequest::get("/slow/s", &id),
                        _ => ClientRequest::post("/send/x", &id, "letter"),
                    };
                    (id, door.send(&request))
                })
            })
            .collect();
        for caller in late {
            let (id, answer) = caller.join().expect("the caller is answered");
            let is_taken = fleet.run_count(&id) > 0;
            assert_eq!((answer.status == 503, answer.is_whole), (!is_taken, true), "{id}: {answer:?}");
        }
    });
}

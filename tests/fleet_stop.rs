//! planned stop of a door under load: callers use its address until the process has exited.

mod fleet;

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use fleet::ClientRequest;
use fleet::Fleet;
use serde_json::json;

/// events of the stream that keeps the door open: at 20 ms each it lasts 3 s, within the grace period of 4 s.
const LONG_EVENTS: usize = 150;

/// a fleet with a route whose streams outlast the time after which a draining door closes connections.
fn fleet_with_long_stream() -> Fleet {
    let mut fleet = Fleet::start("stop-load", 1);
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
    let fleet = fleet_with_long_stream();
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

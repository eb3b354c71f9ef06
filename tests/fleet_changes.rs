//! changes of configuration, replicas and doors while requests run.

mod fleet;

use fleet::ClientRequest;
use fleet::Fleet;
use serde_json::json;

fn get(id: &str) -> ClientRequest {
    ClientRequest::get("/look/status", id)
}

#[test]
fn routes_come_and_go() {
    let mut fleet = Fleet::start("routes", 2);
    let added = fleet::route("new", "/new/", "idempotent", "tools", json!({}));
    let mut routes = fleet.default_routes();
    routes.as_array_mut().expect("routes").push(added);
    fleet.put_config(&routes);
    for door in &fleet.doors {
        fleet.wait("the new route is served", || door.send(&ClientRequest::get("/new/x", "a")).status == 200);
    }
    fleet.put_config(&fleet.default_routes());
    for door in &fleet.doors {
        fleet.wait("the route is removed", || door.send(&ClientRequest::get("/new/x", "b")).status == 404);
    }
}

#[test]
fn leaving_replica_gets_no_requests() {
    let fleet = Fleet::start("leaving", 1);
    fleet.register_replica(&fleet.tools[0], "draining");
    fleet.wait("the door sees the draining entry", || {
        !fleet.doors[0].lines_with("replica entry marks it as leaving").is_empty()
    });
    for number in 0..6 {
        assert_eq!(fleet.doors[0].send(&get(&format!("a{number}"))).status, 200);
    }
    assert!(fleet.tools[0].runs().is_empty(), "a leaving replica got requests");
}

#[test]
fn door_starts_during_an_outage() {
    let mut fleet = Fleet::start("outage", 1);
    fleet.set_platform_down(true);
    fleet.add_door(2);
    fleet.wait("the new door serves", || fleet.doors[1].send(&get("a")).status == 200);
}

#[test]
fn all_start_during_an_outage() {
    let mut fleet = Fleet::start("all-outage", 1);
    assert_eq!(fleet.doors[0].send(&get("a")).status, 200);
    fleet.set_platform_down(true);
    for node in fleet.doors.iter_mut().chain(&mut fleet.ledgers) {
        node.kill();
        node.start();
    }
    fleet.wait("the state stored by the ledger nodes is served", || {
        fleet.doors[0].send(&get("b")).status == 200
    });
}

#[test]
fn directory_lists_live_doors() {
    let mut fleet = Fleet::start("directory", 2);
    let both = |fleet: &Fleet| fleet.doors[0].resolve().len() == 2;
    fleet.wait("both doors are listed", || both(&fleet));
    let dead_door = fleet.doors[1].callers().to_string();
    fleet.doors[1].kill();
    fleet.wait("the dead door is no longer listed", || !fleet.doors[0].resolve().contains(&dead_door));
}

#[test]
fn stop_finishes_streams() {
    let mut fleet = Fleet::start("stop", 1);
    let request = ClientRequest::turn("/kept/t", "a", "x", "p", 10_000, 100);
    let answer = std::thread::scope(|scope| {
        let door = &fleet.doors[0];
        let running = scope.spawn(|| door.send(&request));
        std::thread::sleep(std::time::Duration::from_millis(40));
        door.signal("TERM");
        running.join().expect("the caller is answered")
    });
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(fleet.doors[0].get_readiness(), 503, "a draining door is not ready");
    let mut code = None;
    let door = &mut fleet.doors[0];
    for _ in 0..200 {
        code = door.exit_code();
        if code.is_some() {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    assert_eq!(code, Some(0));
}

#[test]
fn reload_signal_is_survived() {
    let mut fleet = Fleet::start("hup", 1);
    fleet.doors[0].signal("HUP");
    fleet.ledgers[0].signal("HUP");
    std::thread::sleep(std::time::Duration::from_millis(200));
    assert_eq!(fleet.doors[0].exit_code(), None);
    assert_eq!(fleet.ledgers[0].exit_code(), None);
    assert_eq!(fleet.doors[0].send(&get("a")).status, 200);
}

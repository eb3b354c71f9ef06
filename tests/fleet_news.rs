//! state that doors exchange through ledger nodes: replica loads and the list of doors.

use flamingostand::door::FleetView;
use flamingostand::door::OwnDoor;
use flamingostand::fleet::DoorRegistry;
use flamingostand::schema::DoorReport;
use flamingostand::schema::ReplicaUse;

fn report(door: &str, running: u32) -> DoorReport {
    DoorReport {
        name: door.to_owned(),
        zone: "zone-a".to_owned(),
        callers: format!("{door}:80"),
        ready: true,
        started: "s".to_owned(),
        loads: vec![ReplicaUse { replica: "r1".to_owned(), running }],
        strikes_mark: None,
        leaving: Vec::new(),
        limits: Vec::new(),
        unresolved: Vec::new(),
        marks: Vec::new(),
        wants_fleet: true,
        doors_mark: None,
        helper: None,
    }
}

#[test]
fn loads_of_the_others() {
    let mut board = DoorRegistry::default();
    board.report(0, &report("a", 3));
    board.report(0, &report("b", 4));
    let news = board.report(10, &report("a", 5));
    assert_eq!(
        news.loads,
        [ReplicaUse { replica: "r1".to_owned(), running: 4 }],
        "its own loads are left out"
    );
    let late = board.report(5_000, &report("a", 0));
    assert!(late.loads.is_empty(), "the loads of a dead door are dropped");
}

/// addresses other than its own that door `b` gives to a caller without a zone.
fn others(view: &FleetView, is_ready: bool) -> Vec<&str> {
    let own = OwnDoor { callers: "b:80", zone: "zone-a", is_ready };
    view.addresses(&own, None).into_iter().filter(|callers| *callers != own.callers).collect()
}

#[test]
fn dead_door_is_not_listed() {
    let mut board = DoorRegistry::default();
    board.report(0, &report("a", 0));
    let mut view = FleetView::default();
    view.update(0, &board.report(0, &report("b", 0)));
    assert_eq!(others(&view, true), ["a:80"]);
    assert_eq!(others(&view, false), ["a:80"], "without an update the last known list is used");
    view.update(1_500, &board.report(1_500, &report("b", 0)));
    assert!(others(&view, true).is_empty());
    assert_eq!(others(&view, false), ["a:80"], "a door that is cut off lists the others");
}

/// the next report of door `b`, which asks for changes since `view`.
fn next_report(view: &FleetView) -> DoorReport {
    DoorReport { doors_mark: view.mark().cloned(), ..report("b", 0) }
}

#[test]
fn dead_door_is_removed_by_incremental_updates() {
    let mut board = DoorRegistry::new("s1");
    let mut view = FleetView::default();
    for now_ms in (0..1_000).step_by(250) {
        board.report(now_ms, &report("c", 0));
        if now_ms == 0 {
            board.report(now_ms, &report("a", 0));
        }
        view.update(now_ms, &board.report(now_ms, &next_report(&view)));
    }
    board.report(1_000, &report("c", 0));
    view.update(1_000, &board.report(1_000, &next_report(&view)));
    assert_eq!(others(&view, true), ["c:80"]);
    board.report(1_250, &report("a", 0));
    view.update(1_250, &board.report(1_250, &next_report(&view)));
    assert_eq!(others(&view, true), ["a:80", "c:80"], "the door is back");
    let leaving = DoorReport { ready: false, ..report("a", 0) };
    board.report(1_300, &leaving);
    view.update(1_500, &board.report(1_500, &next_report(&view)));
    assert_eq!(others(&view, true), ["c:80"], "the door reports that it is not ready");
}

/// Load: a large idle fleet. Guards against updates to each door that grow with the number of doors.
#[test]
fn idle_fleet_gets_empty_updates() {
    for count in [10, 83, 1_500] {
        let mut board = DoorRegistry::new("s1");
        let mut view = FleetView::default();
        let mut sent = 0;
        for now_ms in (0..5_000).step_by(250) {
            for number in 0..count {
                board.report(now_ms, &DoorReport { wants_fleet: false, ..report(&format!("d{number}"), 0) });
            }
            let news = board.report(now_ms, &next_report(&view));
            sent += if now_ms > 0 { news.doors.len() } else { 0 };
            view.update(now_ms, &news);
        }
        assert_eq!(sent, 0, "{count} doors");
        assert_eq!(others(&view, true).len(), count);
    }
}

#[test]
fn new_source_sends_the_complete_list() {
    let (mut first, mut second) = (DoorRegistry::new("s1"), DoorRegistry::new("s2"));
    let mut view = FleetView::default();
    for door in ["a", "c"] {
        first.report(0, &report(door, 0));
    }
    view.update(0, &first.report(0, &next_report(&view)));
    // The second node has just started and has received a report of one door only.
    second.report(250, &report("c", 0));
    view.update(250, &second.report(250, &next_report(&view)));
    assert_eq!(
        others(&view, true),
        ["a:80", "c:80"],
        "a door unknown to the new node stays listed for a while"
    );
    second.report(1_500, &report("c", 0));
    view.update(1_500, &second.report(1_500, &next_report(&view)));
    assert_eq!(others(&view, true), ["c:80"]);
}

#[test]
fn callers_get_doors_of_their_zone() {
    let mut board = DoorRegistry::new("s1");
    for number in 0..9 {
        let zone = format!("zone-{}", number % 3);
        board.report(0, &DoorReport { zone, ..report(&format!("d{number}"), 0) });
    }
    board.report(0, &DoorReport { zone: "zone-3".to_owned(), ..report("d9", 0) });
    let mut view = FleetView::default();
    view.update(0, &board.report(0, &next_report(&view)));
    let own = OwnDoor { callers: "b:80", zone: "zone-1", is_ready: true };
    assert_eq!(view.addresses(&own, Some("zone-2")), ["d2:80", "d5:80", "d8:80"]);
    let same_zone = view.addresses(&own, Some("zone-1"));
    assert_eq!(same_zone, ["b:80", "d1:80", "d4:80", "d7:80"]);
    let few = view.addresses(&own, Some("zone-3"));
    assert_eq!((few.len(), few[0]), (11, "d9:80"), "one door of a zone is not enough");
    assert_eq!(view.addresses(&own, None).len(), 11);
}

#[test]
fn fleet_state_is_sent_on_request_only() {
    let mut board = DoorRegistry::default();
    board.report(0, &report("a", 3));
    let news = board.report(0, &DoorReport { wants_fleet: false, ..report("b", 1) });
    assert!(!news.tells_fleet && news.doors.is_empty() && news.loads.is_empty());
}

/// Load: thousands of replicas, most of them with one request in flight. The size of an update is bounded.
#[test]
fn busiest_replicas_are_included() {
    let mut board = DoorRegistry::new("s1");
    for number in 0..3_000 {
        let loads =
            vec![ReplicaUse { replica: format!("r{number}"), running: 1 + u32::from(number % 100 == 0) }];
        board.report(0, &DoorReport { loads, ..report(&format!("d{number}"), 0) });
    }
    let news = board.report(0, &report("b", 0));
    assert!(news.loads.len() <= 128, "{} loads", news.loads.len());
    assert_eq!(
        news.loads.iter().filter(|load| load.running == 2).count(),
        30,
        "all the busiest are included"
    );
}

#[test]
fn loads_follow_reports() {
    let mut board = DoorRegistry::new("s1");
    for running in [3, 7, 2] {
        board.report(0, &report("a", running));
        board.report(0, &report("c", 1));
    }
    let news = board.report(0, &report("b", 0));
    assert_eq!(news.loads, [ReplicaUse { replica: "r1".to_owned(), running: 3 }]);
}

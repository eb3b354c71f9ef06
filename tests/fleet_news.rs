//! what doors tell each other through ledger nodes: loads, and who is there.

use flamingostand::door::FleetView;
use flamingostand::fleet::Board;
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
        marks: Vec::new(),
        wants_fleet: true,
    }
}

#[test]
fn loads_of_the_others() {
    let mut board = Board::default();
    board.report(0, &report("a", 3));
    board.report(0, &report("b", 4));
    let news = board.report(10, &report("a", 5));
    assert_eq!(news.loads, [ReplicaUse { replica: "r1".to_owned(), running: 4 }], "its own do not count");
    let late = board.report(5_000, &report("a", 0));
    assert!(late.loads.is_empty(), "a door that is gone runs nothing");
}

#[test]
fn dead_door_is_not_named() {
    let mut board = Board::default();
    board.report(0, &report("a", 0));
    let mut view = FleetView::default();
    view.update(0, &board.report(0, &report("b", 0)));
    assert_eq!(view.addresses("b:80", true), ["a:80"]);
    assert_eq!(view.addresses("b:80", false), ["a:80"], "without news, what was known last stands");
    view.update(1_500, &board.report(1_500, &report("b", 0)));
    assert!(view.addresses("b:80", true).is_empty());
    assert_eq!(view.addresses("b:80", false), ["a:80"], "a door that is cut off names the others");
}

#[test]
fn only_who_asks_is_told_of_the_fleet() {
    let mut board = Board::default();
    board.report(0, &report("a", 3));
    let news = board.report(0, &DoorReport { wants_fleet: false, ..report("b", 1) });
    assert!(!news.tells_fleet && news.doors.is_empty() && news.loads.is_empty());
}

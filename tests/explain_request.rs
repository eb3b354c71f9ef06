//! from the id of a failed request to its cause, by the logs of all processes alone.

mod fleet;

use flamingo_standins::replica::ReplicaFault;
use flamingostand::cli::CtlCommand;
use flamingostand::cli::ExitStatus;
use flamingostand::ctl;
use fleet::ClientRequest;
use fleet::Fleet;

/// runs `flamingoctl explain` over the logs of all processes.
fn explain(fleet: &Fleet, request: &str) -> (ExitStatus, String) {
    let mut words = vec!["flamingoctl".to_owned(), "explain".to_owned(), request.to_owned()];
    let nodes = fleet.doors.iter().chain(&fleet.ledgers);
    words.extend(nodes.map(|node| node.log_path().display().to_string()));
    assert!(words.len() >= 3 + 3, "logs of three processes or more");
    let (options, command) = CtlCommand::parse(&words).expect("the line parses");
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = async_io::block_on(ctl::run(&options, &command, &mut out, &mut err)).expect("it prints");
    (exit, String::from_utf8(out).expect("text"))
}

/// the lines about a request appear once the logger has written them.
fn explained(fleet: &Fleet, request: &str, cause: &str) -> String {
    let mut text = String::new();
    fleet.wait("the cause is found", || {
        text = explain(fleet, request).1;
        text.contains(cause)
    });
    text
}

#[test]
fn refused_by_full_replicas() {
    let fleet = Fleet::start("explain-full", 1);
    for tool in &fleet.tools {
        tool.set_fault(ReplicaFault::Shed);
    }
    assert_eq!(fleet.doors[0].send(&ClientRequest::post("/send/letter", "a", "x")).status, 503);
    let text = explained(&fleet, "a", "reason=all_full");
    for replica in ["replica=tool-1", "replica=tool-2"] {
        assert!(text.contains(replica), "{text}");
    }
    assert!(text.contains("why=shed"), "{text}");
}

#[test]
fn answer_lost_by_replica() {
    let fleet = Fleet::start("explain-lost", 1);
    for tool in &fleet.tools {
        tool.set_fault(ReplicaFault::LoseAnswer);
    }
    assert_eq!(fleet.doors[0].send(&ClientRequest::post("/send/letter", "a", "x")).status, 502);
    let text = explained(&fleet, "a", "reason=answer_lost");
    assert!(text.contains("why=broken") && text.contains("replica=tool-"), "{text}");
}

#[test]
fn ledger_out_of_reach() {
    let mut fleet = Fleet::start("explain-ledger", 1);
    for node in &mut fleet.ledgers {
        node.kill();
    }
    let turn = |id: &str| ClientRequest::turn("/kept/t", id, "x", "p", 10_000, 100);
    let mut number = 0;
    fleet.wait("turns are refused", || {
        number += 1;
        fleet.doors[0].send(&turn(&format!("a{number}"))).status == 503
    });
    std::thread::sleep(std::time::Duration::from_millis(1_200));
    assert_eq!(fleet.doors[0].send(&turn("late")).status, 503);
    let text = explained(&fleet, "late", "reason=ledger_");
    assert!(text.contains("a dependency is lost") && text.contains("dependency=ledger"), "{text}");
}

#[test]
fn unknown_request() {
    let fleet = Fleet::start("explain-unknown", 1);
    let (exit, text) = explain(&fleet, "never");
    assert_eq!(exit, ExitStatus::Failed);
    assert!(text.contains("no line names the request"), "{text}");
}

//! turns in flight while no ledger node can be reached, over real connections.

mod ledger_nodes;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use flamingo_edge::Spawner;
use flamingostand::ledger::empty_view;
use flamingostand::ledger::with_member;
use flamingostand::schema::LedgerFinish;
use flamingostand::schema::LedgerMember;
use flamingostand::schema::LedgerView;
use futures_lite::future::block_on;
use ledger_nodes::Pace;
use ledger_nodes::start_client;
use ledger_nodes::start_nodes;

/// time limit of storing the end of a turn.
const FINISH_TIMEOUT: Duration = Duration::from_secs(4);
/// how long no node can be reached.
const OUTAGE: Duration = Duration::from_millis(500);

/// a view whose members' address refuses connections.
fn unreachable_view() -> LedgerView {
    let member = |name: &str| LedgerMember {
        name: name.to_owned(),
        disk: format!("disk-{name}"),
        // A privileged port that nothing listens on.
        mesh: "127.0.0.1:1".to_owned(),
    };
    with_member(&with_member(&empty_view(1), &member("gone-1")), &member("gone-2"))
}

/// Guards against giving up the end of a turn when no node can be reached at the first attempt, though all
/// are back before its deadline.
#[test]
fn end_of_a_turn_outlasts_an_outage() {
    let spawner = Spawner::start(2);
    let view = start_nodes(&spawner, &[Pace::default(); 3]);
    let client = start_client(&spawner, &unreachable_view());
    let finish = LedgerFinish {
        program: "p".to_owned(),
        request: "p-a".to_owned(),
        line: None,
        replica: None,
        used_tokens: 50,
        turn: None,
    };
    let finishing_client = Arc::clone(&client);
    let stored =
        spawner.spawn(async move { finishing_client.finish(finish, Instant::now() + FINISH_TIMEOUT).await });
    std::thread::sleep(OUTAGE);
    client.adopt(&view);
    assert_eq!(block_on(stored), Ok(()));
}

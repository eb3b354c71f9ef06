//! turns under way while no ledger node can be reached, over real connections.

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

/// how long the end of a turn may wait.
const WAITS: Duration = Duration::from_secs(4);
/// how long nobody can be reached.
const AWAY: Duration = Duration::from_millis(500);

/// a view of nodes that nobody listens for.
fn view_of_nobody() -> LedgerView {
    let member = |name: &str| LedgerMember {
        name: name.to_owned(),
        disk: format!("disk-{name}"),
        // A port that only the system itself listens on.
        mesh: "127.0.0.1:1".to_owned(),
    };
    with_member(&with_member(&empty_view(1), &member("gone-1")), &member("gone-2"))
}

/// The end of a turn was given up if no node could be reached at its first try, though all were back soon.
#[test]
fn end_of_a_turn_outlasts_an_outage() {
    let spawner = Spawner::start(2);
    let view = start_nodes(&spawner, &[Pace::default(); 3]);
    let client = start_client(&spawner, &view_of_nobody());
    let finish = LedgerFinish {
        program: "p".to_owned(),
        request: "p-a".to_owned(),
        line: None,
        replica: None,
        used_tokens: 50,
        turn: None,
    };
    let asker = Arc::clone(&client);
    let stored = spawner.spawn(async move { asker.finish(finish, Instant::now() + WAITS).await });
    std::thread::sleep(AWAY);
    client.adopt(&view);
    assert_eq!(block_on(stored), Ok(()));
}

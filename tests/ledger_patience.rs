//! how long a turn waits for slow disks of the ledger, over real connections. The nodes are real ones but for their
//! disks, whose syncs take as long as a test says.

mod ledger_nodes;

use std::time::Duration;
use std::time::Instant;

use flamingo_edge::Spawner;
use flamingostand::ledger_client::BeginResult;
use flamingostand::ledger_client::NotConfirmed;
use futures_lite::future::block_on;
use ledger_nodes::Pace;
use ledger_nodes::start_client;
use ledger_nodes::start_nodes;
use ledger_nodes::turn;
use test_case::test_case;

/// how long the caller of a turn waits.
const CALLER_WAITS: Duration = Duration::from_secs(3);

/// The replica has begun, so the turn must not be given up before its caller gives up.
#[test_case(Duration::from_millis(5); "usual disks")]
#[test_case(Duration::from_millis(1_000); "slow disks")]
#[test_case(Duration::from_millis(2_700); "disks that stall for almost as long as the caller waits")]
fn reservation_waits_for_slow_disks(sync_time: Duration) {
    let spawner = Spawner::start(2);
    let view = start_nodes(&spawner, &[Pace { sync: sync_time, ..Pace::default() }; 3]);
    let client = start_client(&spawner, &view);
    let began = Instant::now();
    let confirmed = block_on(async {
        let BeginResult::Granted { reservation, .. } = client.begin(turn("p")).await else {
            panic!("the turn may begin");
        };
        client.confirm(*reservation, began + CALLER_WAITS).await
    });
    assert_eq!(confirmed, Ok(()), "after {} ms", began.elapsed().as_millis());
}

#[test]
fn reservation_ends_with_the_caller() {
    let spawner = Spawner::start(2);
    let view = start_nodes(&spawner, &[Pace { sync: 4 * CALLER_WAITS, ..Pace::default() }; 3]);
    let client = start_client(&spawner, &view);
    let confirmed = block_on(async {
        let BeginResult::Granted { reservation, .. } = client.begin(turn("p")).await else {
            panic!("the turn may begin");
        };
        client.confirm(*reservation, Instant::now() + Duration::from_millis(300)).await
    });
    assert_eq!(confirmed, Err(NotConfirmed::NotStored));
}

//! what turns ask of ledger nodes that are slow, over real connections. Pattern of load: more turns than the nodes'
//! processors bear for a while, then the load of before.

mod ledger_nodes;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_executor::Task;
use flamingo_edge::Spawner;
use flamingostand::ledger::AskKind;
use flamingostand::ledger_client::BeginResult;
use flamingostand::ledger_client::LedgerClient;
use flamingostand::schema::LedgerFinish;
use futures_lite::future::block_on;
use ledger_nodes::Pace;
use ledger_nodes::start_client;
use ledger_nodes::start_nodes;
use ledger_nodes::turn;
use test_case::test_case;

/// how long the caller of a turn waits.
const CALLER_WAITS: Duration = Duration::from_secs(3);
/// questions of a turn while three nodes are quick: two reservations and two ends.
const QUESTIONS_AT_REST: u64 = 4;
/// what copies to further nodes may add, a tenth, and the copies that may be saved up: ten turns that ask all three
/// nodes again for the reservation, look again, and ask the third one for the end.
const SAVED_QUESTIONS: u64 = 10 * 9;

/// callers at once under whom the nodes are busy and still quick.
const CALLERS: usize = 8;
/// how long rates are measured.
const MEASURED: Duration = Duration::from_secs(1);
const BURST: Duration = Duration::from_millis(1_500);
/// time after a burst within which service is as before.
const SETTLES_WITHIN: Duration = Duration::from_secs(3);
/// part of what the nodes bear that is served under twice as much.
const SERVED_OF_BORNE: f64 = 0.8;

/// what became of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// it was reserved, confirmed and stored.
    Stored,
    /// it was refused before it ran.
    Refused,
    /// it ran, and was not confirmed or stored.
    Lost,
}

async fn run_turn(client: Arc<LedgerClient>, program: String) -> Ended {
    let deadline = Instant::now() + CALLER_WAITS;
    let start = turn(&program);
    let request = start.request.clone();
    let BeginResult::Granted { reservation, .. } = client.begin(start).await else {
        return Ended::Refused;
    };
    if client.confirm(*reservation, deadline).await.is_err() {
        return Ended::Lost;
    }
    let finish = LedgerFinish { program, request, line: None, replica: None, used_tokens: 50, turn: None };
    match client.finish(finish, deadline).await {
        Ok(()) => Ended::Stored,
        Err(_) => Ended::Lost,
    }
}

/// a door's side that has heard of each node, as doors have by their reports.
fn start_warm(spawner: &Spawner, paces: &[Pace]) -> Arc<LedgerClient> {
    let view = start_nodes(spawner, paces);
    let client = start_client(spawner, &view);
    assert_eq!(block_on(run_turn(Arc::clone(&client), "first".to_owned())), Ended::Stored);
    client.take_counts();
    client
}

/// questions about turns since the last call.
fn questions(client: &LedgerClient) -> u64 {
    let counts = client.take_counts();
    let kinds = [AskKind::Begin, AskKind::BeginAway, AskKind::Spent, AskKind::Finish, AskKind::History];
    kinds.into_iter().map(|kind| counts.count(kind)).sum()
}

/// Turns that repeated their questions to slow nodes kept these slow: service ended, and did not come back.
#[test_case(Duration::from_millis(5); "quick nodes")]
#[test_case(Duration::from_millis(150); "nodes slower than a door was patient")]
#[test_case(Duration::from_millis(400); "slow nodes")]
fn slow_nodes_are_not_asked_more(delay: Duration) {
    let spawner = Spawner::start(2);
    let client = start_warm(&spawner, &[Pace { delay, ..Pace::default() }; 3]);
    let turns = 60;
    let running: Vec<_> =
        (0..turns).map(|number| spawner.spawn(run_turn(Arc::clone(&client), format!("p{number}")))).collect();
    let ended: Vec<Ended> = running.into_iter().map(block_on).collect();
    assert_eq!(ended, vec![Ended::Stored; turns as usize]);
    let most = turns * QUESTIONS_AT_REST * 11 / 10 + SAVED_QUESTIONS;
    let asked = questions(&client);
    assert!(asked <= most, "{asked} questions of {turns} turns, {most} are borne");
}

/// turns a second that the nodes bear, by callers who each wait for their turn before the next one.
fn capacity(spawner: &Spawner, client: &Arc<LedgerClient>) -> f64 {
    let ends = Instant::now() + MEASURED;
    let callers = (0..CALLERS).map(|caller| {
        let client = Arc::clone(client);
        spawner.spawn(async move {
            let mut count = 0;
            while Instant::now() < ends {
                let ended = run_turn(Arc::clone(&client), format!("measured-{caller}-{count}")).await;
                assert_eq!(ended, Ended::Stored);
                count += 1;
            }
            count
        })
    });
    let callers: Vec<_> = callers.collect();
    let turns: u32 = callers.into_iter().map(block_on).sum();
    f64::from(turns) / MEASURED.as_secs_f64()
}

/// offers turns at a rate, whether earlier ones have ended or not.
fn offer(
    spawner: &Spawner,
    client: &Arc<LedgerClient>,
    name: &str,
    turns_per_s: f64,
    span: Duration,
) -> Vec<Task<Ended>> {
    let began = Instant::now();
    let mut running = Vec::new();
    while began.elapsed() < span {
        let due = (began.elapsed().as_secs_f64() * turns_per_s) as usize;
        while running.len() < due {
            let program = format!("{name}-{}", running.len());
            running.push(spawner.spawn(run_turn(Arc::clone(client), program)));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    running
}

/// A burst beyond what the nodes bear ended service for good, at a load that they had borne before.
#[test]
fn burst_passes() {
    let spawner = Spawner::start(2);
    let pace = Pace { work: Duration::from_millis(4), sync: Duration::from_millis(5), ..Pace::default() };
    let client = start_warm(&spawner, &[pace; 3]);
    let capacity = capacity(&spawner, &client);
    let burst = offer(&spawner, &client, "burst", 2.0 * capacity, BURST);
    // Turns that come meanwhile may be refused; after some seconds none is.
    let settling = offer(&spawner, &client, "settling", capacity / 4.0, SETTLES_WITHIN);
    let after = offer(&spawner, &client, "after", capacity / 4.0, MEASURED);
    let ended = |turns: Vec<Task<Ended>>| -> Vec<Ended> { turns.into_iter().map(block_on).collect() };
    let (burst, settling, after) = (ended(burst), ended(settling), ended(after));
    assert_eq!(after, vec![Ended::Stored; after.len()], "after the burst");
    assert!(!burst.contains(&Ended::Lost), "a turn of the burst ran in vain");
    assert!(!settling.contains(&Ended::Lost), "a turn after the burst ran in vain");
    let stored = burst.iter().filter(|ended| **ended == Ended::Stored).count();
    let borne = capacity * BURST.as_secs_f64();
    assert!(
        stored as f64 >= SERVED_OF_BORNE * borne,
        "{stored} of {} turns of the burst were served, {borne:.0} are borne",
        burst.len()
    );
}

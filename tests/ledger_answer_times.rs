//! how long a door waits for some ledger nodes before it asks others as well. Pattern of load: one node that
//! is slow or gone among quick ones, and all of them slow together.

use flamingostand::ledger_client::AnswerTimes;
use flamingostand::ledger_client::AwaitedStep;
use test_case::test_case;

const MEMBERS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn times(answer_ms: [u64; 5]) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for _ in 0..40 {
        for (member, took_ms) in MEMBERS.iter().zip(answer_ms) {
            times.record(member, AwaitedStep::Answer, took_ms);
        }
    }
    times
}

#[test_case([3, 3, 3, 3, 3], [0, 0, 0, 0, 0], 30; "all are quick")]
#[test_case([3, 3, 3, 3, 3], [0, 0, 0, 0, 700], 30; "one does not answer")]
#[test_case([3, 3, 3, 3, 3], [0, 0, 0, 700, 700], 30; "as many do not answer as may be away")]
#[test_case([3, 3, 3, 3, 400], [0, 0, 0, 0, 0], 30; "one is slow")]
#[test_case([3, 3, 3, 3, 3], [0, 0, 200, 200, 200], 400; "all that were asked are late")]
#[test_case([200, 200, 200, 200, 200], [0, 0, 0, 0, 0], 400; "all are slow")]
fn patience_follows_the_peers(answer_ms: [u64; 5], oldest_ms: [u64; 5], at_least_ms: u64) {
    let hedge_delay_ms = times(answer_ms).hedge_delay_ms(&MEMBERS, AwaitedStep::Answer, &oldest_ms);
    assert!(hedge_delay_ms.abs_diff(at_least_ms) <= 5, "{hedge_delay_ms} ms");
}

#[test_case([3, 3, 3, 3, 400], [0, 0, 0, 0, 0], [false, false, false, false, true]; "one is slow")]
#[test_case([3, 3, 3, 3, 3], [0, 200, 0, 0, 0], [false, true, false, false, false]; "one does not answer")]
#[test_case([300, 300, 300, 300, 400], [0, 0, 0, 0, 0], [false; 5]; "all are slow")]
#[test_case([3, 3, 3, 3, 60], [0, 0, 0, 0, 0], [false; 5]; "one is slower than the others")]
fn members_lag_behind_peers(answer_ms: [u64; 5], oldest_ms: [u64; 5], lagging: [bool; 5]) {
    assert_eq!(times(answer_ms).lagging(&MEMBERS, &oldest_ms), lagging);
}

//! request deadlines at a door whose machine or process was paused.

use std::time::Duration;
use std::time::Instant;

use flamingostand::clock::Deadline;
use flamingostand::clock::Moment;
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

/// remaining time of a 3 s deadline after the clocks have advanced by these amounts.
fn remaining(steady: Duration, since_boot: Duration) -> Duration {
    let received = Moment { monotonic: Instant::now(), since_boot: 100 * SECOND };
    let now = Moment { monotonic: received.monotonic + steady, since_boot: received.since_boot + since_boot };
    Deadline::new(received, 3 * SECOND).remaining(&now)
}

#[test_case(SECOND, SECOND, 2 * SECOND; "no pause")]
#[test_case(Duration::ZERO, 8 * SECOND, Duration::ZERO; "suspended for longer than the caller waits")]
#[test_case(SECOND, 2 * SECOND, SECOND; "suspended for a part of it")]
#[test_case(4 * SECOND, 4 * SECOND, Duration::ZERO; "stopped by a signal")]
fn paused_door(steady: Duration, since_boot: Duration, expected: Duration) {
    assert_eq!(remaining(steady, since_boot), expected);
}

#[test]
fn both_clocks_advance() {
    let before = Moment::now();
    let after = Moment::now();
    assert!(after.monotonic >= before.monotonic && after.since_boot >= before.since_boot);
    assert!(before.since_boot > Duration::ZERO, "the clock of the machine can be read");
}

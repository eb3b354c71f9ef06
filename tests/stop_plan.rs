//! what a stopping door still takes.

use std::time::Duration;

use flamingostand::door::StopPlan;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against requests that are taken late in the grace period and cut off at its end.
#[test_case(0, 60_000, None, true; "callers hold the address")]
#[test_case(1_400, 60_000, None, true; "callers still hold the address")]
#[test_case(1_600, 5_000, None, true; "ends by its deadline")]
#[test_case(1_600, 6_000, None, false; "may outlast the exit")]
#[test_case(1_600, 6_000, Some(1_000), true; "usually ends in time")]
#[test_case(6_000, 6_000, Some(1_000), false; "usually ends too late")]
#[test_case(7_400, 10, Some(1), false; "no time is left")]
fn requests_taken(since_ms: u64, left_ms: u64, usual_ms: Option<u64>, is_taken: bool) {
    let plan = StopPlan::new(ms(8_000), ms(500));
    assert_eq!(plan.may_take(ms(since_ms), ms(left_ms), usual_ms.map(ms)), is_taken, "{plan:?}");
}

/// Guards against an exit so early that requests are cut which have all of the grace period.
#[test_case(400; "tenths of a second")]
#[test_case(4_000; "seconds")]
#[test_case(30_000; "half a minute")]
fn exit_comes_in_the_last_sixth(grace_ms: u64) {
    let plan = StopPlan::new(ms(grace_ms), ms(500));
    assert!(plan.exits_after >= ms(grace_ms) * 5 / 6 && plan.exits_after < ms(grace_ms), "{plan:?}");
    assert!(plan.closes_after < plan.exits_after, "{plan:?}");
}

//! giving up a call that may be repeated for another replica. Pattern of load: replicas that do the work and lose one
//! answer in twenty, beside bursts in which every answer is slow and none is lost.

use flamingostand::routing::AttemptTimeouts;

/// time within which answers are wanted.
const AIM_MS: u64 = 250;
const ROUTE: &str = "look";

fn usual() -> AttemptTimeouts {
    let mut patience = AttemptTimeouts::default();
    for _ in 0..100 {
        patience.record_latency(ROUTE, 60.0);
        patience.record_latency(ROUTE, 40.0);
    }
    patience
}

#[test]
fn nothing_is_known_yet() {
    assert_eq!(AttemptTimeouts::default().timeout_ms(ROUTE, AIM_MS), None);
}

#[test]
fn aim_comes_first() {
    assert_eq!(usual().timeout_ms(ROUTE, AIM_MS), Some(AIM_MS), "the first replica may still be in time");
}

#[test]
fn usual_time_comes_first() {
    let limit_ms = usual().timeout_ms(ROUTE, 10).expect("a limit");
    assert!((50..=200).contains(&limit_ms), "{limit_ms}");
}

#[test]
fn lost_answers_are_asked_for_again() {
    let mut patience = usual();
    for call in 0..1_000 {
        if call % 20 != 0 {
            patience.record_latency(ROUTE, 50.0);
            continue;
        }
        assert!(patience.timeout_ms(ROUTE, AIM_MS).is_some(), "call {call}");
        patience.record_abandoned(ROUTE);
        patience.record_latency(ROUTE, 50.0);
    }
}

#[test]
fn slow_service_is_not_asked_twice() {
    let mut patience = usual();
    let mut given_up = 0;
    for _ in 0..1_000 {
        if patience.timeout_ms(ROUTE, AIM_MS).is_some_and(|limit_ms| limit_ms < 1_000) {
            patience.record_abandoned(ROUTE);
            given_up += 1;
        }
        patience.record_latency(ROUTE, 1_000.0);
    }
    // A tenth of the calls at most, however long the service is slow; what was saved before comes on top.
    assert!(given_up <= 100 + 10, "{given_up}");
}

#[test]
fn routes_are_apart() {
    assert_eq!(usual().timeout_ms("order", AIM_MS), None);
}

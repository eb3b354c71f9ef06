//! adaptive timeout after which an idempotent call is sent to another replica. Replicas may do the work and
//! lose one response in twenty; in a burst, every response is slow and none is lost.

use flamingostand::routing::AttemptTimeouts;

/// latency objective of the route.
const TARGET_MS: u64 = 250;
const ROUTE: &str = "look";

fn with_history() -> AttemptTimeouts {
    let mut timeouts = AttemptTimeouts::default();
    for _ in 0..100 {
        timeouts.record_latency(ROUTE, 60.0);
        timeouts.record_latency(ROUTE, 40.0);
    }
    timeouts
}

#[test]
fn no_timeout_without_history() {
    assert_eq!(AttemptTimeouts::default().timeout_ms(ROUTE, TARGET_MS), None);
}

#[test]
fn timeout_is_at_least_the_target() {
    assert_eq!(
        with_history().timeout_ms(ROUTE, TARGET_MS),
        Some(TARGET_MS),
        "the first replica may still meet the objective"
    );
}

#[test]
fn timeout_follows_the_usual_latency() {
    let timeout_ms = with_history().timeout_ms(ROUTE, 10).expect("a timeout");
    assert!((50..=200).contains(&timeout_ms), "{timeout_ms}");
}

#[test]
fn lost_responses_are_retried() {
    let mut timeouts = with_history();
    for call in 0..1_000 {
        if call % 20 != 0 {
            timeouts.record_latency(ROUTE, 50.0);
            continue;
        }
        assert!(timeouts.timeout_ms(ROUTE, TARGET_MS).is_some(), "call {call}");
        timeouts.record_abandoned(ROUTE);
        timeouts.record_latency(ROUTE, 50.0);
    }
}

#[test]
fn slow_service_does_not_get_twice_the_load() {
    let mut timeouts = with_history();
    let mut abandoned = 0;
    for _ in 0..1_000 {
        if timeouts.timeout_ms(ROUTE, TARGET_MS).is_some_and(|timeout_ms| timeout_ms < 1_000) {
            timeouts.record_abandoned(ROUTE);
            abandoned += 1;
        }
        timeouts.record_latency(ROUTE, 1_000.0);
    }
    // At most a tenth of the calls, however long the service is slow, plus the retries saved up before.
    assert!(abandoned <= 100 + 10, "{abandoned}");
}

#[test]
fn routes_are_independent() {
    assert_eq!(with_history().timeout_ms("order", TARGET_MS), None);
}

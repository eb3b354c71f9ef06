//! limit on the turns of a door that ask the ledger concurrently. Pattern of load: more turns than the ledger
//! can serve, for a while.

use flamingostand::ledger_client::AcquireResult;
use flamingostand::ledger_client::Admission;

/// fills all permits, then has the ledger answer each turn after `took_ms`.
fn answer_round(admission: &mut Admission, now_ms: u64, took_ms: u64) {
    while admission.in_flight() < admission.limit() {
        assert_eq!(admission.acquire(), AcquireResult::Admitted);
    }
    for _ in 0..admission.in_flight() {
        admission.release(now_ms, took_ms);
    }
}

/// a limiter whose ledger has answered quickly before.
fn warm() -> Admission {
    let mut admission = Admission::default();
    answer_round(&mut admission, 100, 5);
    admission
}

#[test]
fn late_answers_lower_the_limit() {
    let mut admission = warm();
    for round in 1..20 {
        answer_round(&mut admission, round * 200, 150);
    }
    assert_eq!(admission.limit(), 1);
    // One permit always remains, so that the door notices when the ledger is quick again.
    assert_eq!(admission.acquire(), AcquireResult::Admitted);
}

#[test]
fn answers_in_time_raise_it_again() {
    let mut admission = warm();
    for round in 1..20 {
        answer_round(&mut admission, round * 200, 150);
    }
    for round in 20..40 {
        answer_round(&mut admission, round * 200, 10);
    }
    assert!(admission.limit() >= 8, "{}", admission.limit());
}

#[test]
fn answers_of_one_overload_count_once() {
    let mut admission = warm();
    let before = admission.limit();
    answer_round(&mut admission, 1_000, 400);
    assert!(admission.limit() >= before / 2, "{} after {before}", admission.limit());
}

#[test]
fn turns_wait_in_order() {
    let mut admission = Admission::default();
    let permits = admission.limit();
    for _ in 0..permits {
        assert_eq!(admission.acquire(), AcquireResult::Admitted);
    }
    let keys: Vec<_> = (0..3).map(|_| admission.acquire()).collect();
    let [AcquireResult::Queued(first), AcquireResult::Queued(second), AcquireResult::Queued(third)] =
        keys[..]
    else {
        panic!("expected the turns to be queued: {keys:?}");
    };
    assert_eq!(admission.grant_next(), None);
    // The caller of the second turn left.
    admission.cancel(second);
    admission.release(1_000, 10);
    admission.release(1_000, 10);
    assert_eq!(admission.grant_next(), Some(first));
    assert_eq!(admission.grant_next(), Some(third));
    assert_eq!(admission.grant_next(), None);
}

#[test]
fn place_of_a_caller_who_left_is_free() {
    let mut admission = Admission::default();
    let permits = admission.limit();
    for _ in 0..permits {
        admission.acquire();
    }
    let AcquireResult::Queued(key) = admission.acquire() else {
        panic!("expected the turn to be queued");
    };
    admission.release(1_000, 10);
    assert_eq!(admission.grant_next(), Some(key));
    let before = admission.in_flight();
    admission.cancel(key);
    assert_eq!(admission.in_flight(), before - 1);
}

/// Guards against taking a distant or slow ledger without queueing for an overloaded one, which refused turns
/// that it could serve.
#[test]
fn slow_ledger_without_queue_is_trusted() {
    let mut admission = Admission::default();
    for round in 1..20 {
        answer_round(&mut admission, round * 500, 400);
    }
    assert!(admission.limit() >= 20, "{}", admission.limit());
}

/// Guards against turns that cannot be served waiting until they are late; they must be refused at once.
#[test]
fn hopeless_turns_are_refused_at_once() {
    let mut admission = warm();
    for round in 1..40 {
        answer_round(&mut admission, round * 500, 400);
    }
    assert_eq!(admission.acquire(), AcquireResult::Admitted);
    let AcquireResult::Refused { wait_ms } = admission.acquire() else {
        panic!("expected the turn to be refused");
    };
    assert!((300..=500).contains(&wait_ms), "{wait_ms} ms");
}

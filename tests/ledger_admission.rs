//! how many turns a door lets ask the ledger at once. Pattern of load: more turns than the ledger bears, for a while.

use flamingostand::ledger_client::Admission;
use flamingostand::ledger_client::Entry;

/// admits as many turns as have a place, and has the ledger answer all of them after `took_ms`.
fn answer_round(admission: &mut Admission, now_ms: u64, took_ms: u64) {
    while admission.under_way() < admission.limit() {
        assert_eq!(admission.enter(), Entry::Admitted);
    }
    for _ in 0..admission.under_way() {
        admission.leave(now_ms, took_ms);
    }
}

/// a door whose ledger has answered quickly before.
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
    // It never falls so low that nobody learns that the ledger is quick again.
    assert_eq!(admission.enter(), Entry::Admitted);
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
    let places = admission.limit();
    for _ in 0..places {
        assert_eq!(admission.enter(), Entry::Admitted);
    }
    let keys: Vec<_> = (0..3).map(|_| admission.enter()).collect();
    let [Entry::Waits(first), Entry::Waits(second), Entry::Waits(third)] = keys[..] else {
        panic!("the turns wait: {keys:?}");
    };
    assert_eq!(admission.next_admitted(), None);
    // The caller of the second one left.
    admission.give_up(second);
    admission.leave(1_000, 10);
    admission.leave(1_000, 10);
    assert_eq!(admission.next_admitted(), Some(first));
    assert_eq!(admission.next_admitted(), Some(third));
    assert_eq!(admission.next_admitted(), None);
}

#[test]
fn place_of_a_caller_who_left_is_free() {
    let mut admission = Admission::default();
    let places = admission.limit();
    for _ in 0..places {
        admission.enter();
    }
    let Entry::Waits(key) = admission.enter() else {
        panic!("the turn waits");
    };
    admission.leave(1_000, 10);
    assert_eq!(admission.next_admitted(), Some(key));
    let before = admission.under_way();
    admission.give_up(key);
    assert_eq!(admission.under_way(), before - 1);
}

/// A far or slow ledger without a queue was taken for an overloaded one, and turns were refused that it would serve.
#[test]
fn slow_ledger_without_queue_is_trusted() {
    let mut admission = Admission::default();
    for round in 1..20 {
        answer_round(&mut admission, round * 500, 400);
    }
    assert!(admission.limit() >= 20, "{}", admission.limit());
}

/// Turns that could not be served waited until they were late, in place of being refused at once.
#[test]
fn hopeless_turns_are_refused_at_once() {
    let mut admission = warm();
    for round in 1..40 {
        answer_round(&mut admission, round * 500, 400);
    }
    assert_eq!(admission.enter(), Entry::Admitted);
    let Entry::Refused { wait_ms } = admission.enter() else {
        panic!("no place within the longest wait");
    };
    assert!((300..=500).contains(&wait_ms), "{wait_ms} ms");
}

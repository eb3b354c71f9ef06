//! notes of lateness for the log: one at a change of state, and a limited number while it stays behind.

use flamingostand::telemetry::Lateness;
use flamingostand::telemetry::LatenessNote;

#[test]
fn reports_changes() {
    let mut lateness = Lateness::default();
    assert_eq!(lateness.observe(0, 5), None);
    assert_eq!(lateness.observe(250, 150), Some(LatenessNote::Behind));
    assert_eq!(lateness.observe(500, 150), None);
    // Lateness between the two thresholds does not change the state.
    assert_eq!(lateness.observe(750, 50), None);
    assert!(lateness.is_behind());
    assert_eq!(lateness.observe(1_000, 10), Some(LatenessNote::CaughtUp));
    assert!(!lateness.is_behind());
}

#[test]
fn limits_behind_notes() {
    let mut lateness = Lateness::default();
    let notes =
        (0..10_000).filter_map(|now_ms| lateness.observe(now_ms, if now_ms % 2 == 0 { 500 } else { 0 }));
    assert_eq!(notes.filter(|note| *note == LatenessNote::Behind).count(), 10);
}

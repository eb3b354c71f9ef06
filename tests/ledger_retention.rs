//! how long a ledger node keeps the turns of a conversation.

use flamingostand::ledger::RecordStore;
use flamingostand::ledger::SPEND_RETENTION_MS;
use flamingostand::schema::LedgerFinish;
use flamingostand::schema::LedgerRecord;
use flamingostand::schema::LedgerTurn;
use flamingostand::schema::TurnExtension;
use test_case::test_case;

const SHORT_KEEP_MS: u64 = 90_000;
const LONG_KEEP_MS: u64 = 300_000;

/// the end of a turn of a conversation; turn 0 begins it.
fn turn(number: u32, keep_ms: u64) -> LedgerRecord {
    let previous = number.checked_sub(1).map(|previous| format!("turn-{previous}"));
    LedgerRecord::Finished(LedgerFinish {
        program: "program".to_owned(),
        request: format!("turn-{number}"),
        line: None,
        replica: None,
        used_tokens: 10,
        turn: Some(LedgerTurn { previous, said: b"said".to_vec().into(), keep_ms }),
    })
}

/// Guards against an old turn that expires before a newer one because their records were copied or replayed in
/// another order.
#[test_case([0, 1, 2]; "oldest first")]
#[test_case([2, 1, 0]; "newest first")]
#[test_case([0, 2, 1]; "middle last")]
#[test_case([1, 2, 0]; "oldest last")]
fn order_of_records_does_not_matter(order: [u32; 3]) {
    let mut store = RecordStore::default();
    for number in order {
        let keep_ms = if number == 2 { LONG_KEEP_MS } else { SHORT_KEEP_MS };
        store.merge(0, &turn(number, keep_ms));
    }
    store.expire(LONG_KEEP_MS - 1);
    assert_eq!(store.history("turn-2").len(), 3);
    store.expire(LONG_KEEP_MS);
    assert_eq!(store.turn_count(), 0);
}

/// Guards against the oldest turns of a conversation that expire on the members that hold them, as the newest turn is
/// on another one.
#[test]
fn turns_that_another_member_needs_are_kept() {
    let mut store = RecordStore::default();
    store.merge(0, &turn(0, SHORT_KEEP_MS));
    store.merge(0, &turn(1, SHORT_KEEP_MS));
    let extension = |turn: &str| TurnExtension { turn: turn.to_owned(), keep_ms: SHORT_KEEP_MS };
    let extended = store.extend(50_000, &[extension("turn-1"), extension("unknown")]);
    assert_eq!(extended, 1);
    store.expire(50_000 + SHORT_KEEP_MS - 1);
    assert_eq!(store.history("turn-1").len(), 2);
    store.expire(50_000 + SHORT_KEEP_MS);
    assert_eq!(store.turn_count(), 0);
}

/// Guards against a kept turn that is missing in a compacted log and in copies, as what its program has spent is
/// forgotten before the turn is.
#[test]
fn kept_turn_outlasts_the_spending_of_its_program() {
    let mut store = RecordStore::default();
    store.merge(0, &turn(0, 2 * SPEND_RETENTION_MS));
    store.expire(2 * SPEND_RETENTION_MS - 1);
    assert_eq!(store.page(0).0, [turn(0, 2 * SPEND_RETENTION_MS)]);
    store.expire(2 * SPEND_RETENTION_MS);
    assert_eq!((store.page(0).0.len(), store.program_count()), (0, 0));
}

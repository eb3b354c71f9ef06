//! how long a ledger node keeps the turns of a conversation.

use std::collections::BTreeSet;

use flamingostand::ledger::CoreAction;
use flamingostand::ledger::CoreInput;
use flamingostand::ledger::NodeCore;
use flamingostand::ledger::RecordStore;
use flamingostand::ledger::SPEND_RETENTION_MS;
use flamingostand::ledger::empty_view;
use flamingostand::ledger::with_member;
use flamingostand::mesh::ConnectionId;
use flamingostand::schema::LedgerAnswer;
use flamingostand::schema::LedgerAsk;
use flamingostand::schema::LedgerFinish;
use flamingostand::schema::LedgerMember;
use flamingostand::schema::LedgerRecord;
use flamingostand::schema::LedgerRecords;
use flamingostand::schema::LedgerReply;
use flamingostand::schema::LedgerRequest;
use flamingostand::schema::LedgerTurn;
use flamingostand::schema::TurnExtension;
use test_case::test_case;

const SHORT_KEEP_MS: u64 = 90_000;
const LONG_KEEP_MS: u64 = 300_000;

/// interval of the timer of a node.
const TICK_MS: u64 = 250;
/// conversations whose first turn a node lacks: more than it tells another member of in the time after which it
/// starts from the first one again.
const CONVERSATIONS: usize = 25_000;

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

/// lets the timer of a node fire, and has the other members answer that they have no records for it; returns the turns
/// that `member` is told of.
fn tick(core: &mut NodeCore, now_ms: u64, member: &str) -> Vec<String> {
    let mut told = Vec::new();
    for action in core.handle(now_ms, CoreInput::Tick) {
        let CoreAction::Ask { member: asked, ask } = action else {
            continue;
        };
        if let LedgerRequest::Pull(pull) = ask.request
            && asked.name == member
        {
            told.extend(pull.extends.into_iter().map(|extension| extension.turn));
        }
        let records = LedgerRecords { records: Vec::new(), last: 0, more: false, complete: true };
        let answer = LedgerAnswer { id: ask.id, reply: LedgerReply::Records(records) };
        core.handle(now_ms, CoreInput::Answer(Box::new(answer)));
    }
    told
}

/// Guards against missing turns of which other members are never told, as there are too many of them, and against
/// members that are not told again after they may have restarted.
#[test]
fn members_are_told_of_all_missing_turns_again_and_again() {
    let member = |name: &str| LedgerMember {
        name: name.to_owned(),
        disk: format!("disk-{name}"),
        mesh: "10.0.0.1:7000".to_owned(),
    };
    let names = ["first", "second", "third"];
    let view = names.iter().fold(empty_view(1), |view, name| with_member(&view, &member(name)));
    let epoch = view.epoch;
    let mut core = NodeCore::new(member("first"), empty_view(1), "start");
    core.handle(0, CoreInput::View(Some(view)));
    tick(&mut core, 0, "second");
    assert!(core.node().is_complete());
    for number in 0..CONVERSATIONS {
        let LedgerRecord::Finished(finish) = turn(1, LONG_KEEP_MS) else { unreachable!("a turn has an end") };
        let request = format!("second-{number}");
        let kept = finish.turn.map(|kept| LedgerTurn { previous: Some(format!("first-{number}")), ..kept });
        let request = LedgerRequest::Finish(LedgerFinish { request, turn: kept, ..finish });
        let ask = LedgerAsk { id: number as u64, epoch, request };
        core.handle(0, CoreInput::Ask(ConnectionId(1), Box::new(ask)));
    }
    for round in 0..2 {
        let mut told = BTreeSet::new();
        for step in 0..80 {
            told.extend(tick(&mut core, (round * 80 + step) * TICK_MS, "second"));
        }
        assert_eq!(told.len(), CONVERSATIONS, "round {round}");
    }
}

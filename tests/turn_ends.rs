//! who ends the reservation of a turn that several doors hold, and which of several ends counts.

use flamingostand::door::TurnRole;
use flamingostand::door::TurnTokens;
use flamingostand::ledger::QuorumReplies;
use flamingostand::ledger::RecordStore;
use flamingostand::ledger::empty_view;
use flamingostand::schema::LedgerAccount;
use flamingostand::schema::LedgerFinish;
use flamingostand::schema::LedgerRecord;
use flamingostand::schema::LedgerSpend;
use flamingostand::schema::ReservedTokens;
use test_case::test_case;

const MOST_TOKENS: u64 = 40;
const EVENT_TOKENS: u64 = 10;

fn reserved() -> LedgerRecord {
    LedgerRecord::Reserved(ReservedTokens {
        program: "program".to_owned(),
        request: "turn".to_owned(),
        tokens: MOST_TOKENS,
        away: false,
    })
}

fn ended(used_tokens: u64) -> LedgerRecord {
    LedgerRecord::Finished(LedgerFinish {
        program: "program".to_owned(),
        request: "turn".to_owned(),
        line: None,
        replica: None,
        used_tokens,
        turn: None,
    })
}

/// Guards against members of the ledger that differ for good over a turn that two doors have ended.
#[test_case(&[reserved(), ended(0), ended(30)]; "nothing used first")]
#[test_case(&[ended(30), ended(0), reserved()]; "reserved last")]
#[test_case(&[ended(0), reserved(), ended(30)]; "reserved between")]
fn largest_end_counts(records: &[LedgerRecord]) {
    let mut store = RecordStore::default();
    for record in records {
        store.merge(0, record);
    }
    let spends = store.spends("program", 0);
    assert_eq!(spends.iter().map(|spend| (spend.tokens, spend.settled)).collect::<Vec<_>>(), [(30, true)]);
}

/// Guards against a budget check that depends on the order in which members answer.
#[test_case(0, 30; "smaller end first")]
#[test_case(30, 0; "larger end first")]
fn largest_reported_end_counts(first: u64, second: u64) {
    let mut replies = QuorumReplies::new(&empty_view(1), None);
    for (member, tokens) in [("first", first), ("second", second)] {
        let spend = LedgerSpend { request: "turn".to_owned(), tokens, settled: true, away: false };
        let account = LedgerAccount {
            spends: vec![spend],
            home: None,
            complete: true,
            knows_turn: true,
            history: Vec::new(),
            stream: None,
        };
        replies.add_account(member, None, account);
    }
    assert_eq!(replies.held_tokens(), 30);
}

/// Guards against a helper that ends a reservation under which another door runs the turn, and against one that
/// nobody ends.
#[test_case(TurnRole::Caller, Some(20), Some(20); "callers door")]
#[test_case(TurnRole::Helper, None, None; "helper")]
#[test_case(TurnRole::EndingHelper, Some(20), None; "helper of the build before")]
fn door_that_sees_the_caller_ends_the_turn(role: TurnRole, taken: Option<u64>, left: Option<u64>) {
    let mut tokens = TurnTokens::new(role, EVENT_TOKENS, MOST_TOKENS);
    assert!(tokens.record_event() && tokens.record_event());
    assert_eq!(tokens.at_end(), taken);
    tokens.leave_to_others();
    assert_eq!(tokens.at_end(), left);
}

#[test]
fn nothing_is_ended_that_was_not_reserved() {
    let mut tokens = TurnTokens::new(TurnRole::Caller, EVENT_TOKENS, MOST_TOKENS);
    tokens.close();
    tokens.leave_to_others();
    assert_eq!(tokens.at_end(), None);
    tokens.reopen();
    assert_eq!(tokens.at_end(), Some(0));
}

#[test]
fn events_beyond_the_reservation_are_rejected() {
    let mut tokens = TurnTokens::new(TurnRole::Caller, EVENT_TOKENS, MOST_TOKENS - 5);
    let accepted = (0..10).take_while(|_| tokens.record_event()).count();
    assert_eq!(accepted, 4, "the last event may stand for fewer tokens");
}

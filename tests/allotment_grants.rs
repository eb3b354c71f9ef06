//! tokens of allotments that ledger nodes grant and doors use, in small cases.

use flamingostand::allotment::Admission;
use flamingostand::allotment::AllotmentBounds;
use flamingostand::allotment::AllotmentLedger;
use flamingostand::allotment::AllotmentTerms;
use flamingostand::allotment::DoorAllotments;
use flamingostand::allotment::ProgramStanding;
use flamingostand::allotment::Question;
use flamingostand::allotment::RecentPrograms;
use flamingostand::schema::AllotmentAsk;
use flamingostand::schema::AllotmentGrant;
use flamingostand::schema::AllotmentReturn;
use test_case::test_case;

const BOUNDS: AllotmentBounds = AllotmentBounds { window_ms: 5_000, overshoot: 0.1, slack: 20 };
const TERMS: AllotmentTerms = AllotmentTerms { version: 1, rate_per_s: 10.0, burst: 10.0 };
/// a time at which a node that started at 0 grants its full part.
const SETTLED_MS: u64 = 10_000;
/// part of one of five nodes in `TERMS`: a fifth of 66, rounded up.
const PART: u32 = 14;
/// `PART` with the slack: a fifth of 86, rounded down.
const PART_WITH_SLACK: u32 = 17;

fn ledger() -> AllotmentLedger {
    let mut ledger = AllotmentLedger::new(BOUNDS, "start");
    ledger.set_members(0, Some(5));
    ledger
}

fn wanted(starts: u32, turns: u32) -> AllotmentAsk {
    AllotmentAsk {
        workspace: "team".to_owned(),
        version: TERMS.version,
        rate_per_s: TERMS.rate_per_s,
        burst: TERMS.burst,
        starts,
        turns,
        returns: Vec::new(),
    }
}

fn members() -> Vec<String> {
    ["a", "b"].map(str::to_owned).to_vec()
}

fn question(door: &mut DoorAllotments, now_ms: u64, standing: ProgramStanding, tried: &[String]) -> Question {
    match door.admit(now_ms, "team", TERMS, standing, &members(), tried) {
        Admission::Ask(question) => question,
        other => panic!("a node is asked, not {other:?}"),
    }
}

fn grant(starts: u32, turns: u32, retry_after_ms: Option<u64>) -> AllotmentGrant {
    AllotmentGrant { start: "start".to_owned(), slot: 7, starts, turns, retry_after_ms }
}

/// Guards against a node that grants more than its part, or less.
#[test]
fn node_grants_its_part() {
    let mut ledger = ledger();
    assert_eq!(ledger.grant(SETTLED_MS, &wanted(0, 100)).turns, PART, "of the whole");
    let refused = ledger.grant(SETTLED_MS + 1_000, &wanted(0, 1));
    assert_eq!(refused.turns, 0, "its part is granted");
    let again_ms = SETTLED_MS + 1_000 + refused.retry_after_ms.expect("a time to come back at");
    assert_eq!(ledger.grant(again_ms - 1, &wanted(0, 1)).turns, 0, "earlier than it said");
    assert_eq!(ledger.grant(again_ms, &wanted(0, 100)).turns, PART, "when it said");
}

/// Guards against a node that grants its part again after a start, or after it has joined.
#[test]
fn node_that_starts_leaves_room_for_earlier_grants() {
    let mut ledger = ledger();
    let mut granted = 0;
    for now_ms in (0..BOUNDS.span_ms()).step_by(100) {
        granted += ledger.grant(now_ms, &wanted(0, 100)).turns;
    }
    assert!(granted > 0, "the slack is granted");
    assert!(PART + granted <= PART_WITH_SLACK, "{granted} granted");
}

/// Guards against a node that grants although it is no member.
#[test]
fn node_that_is_no_member_grants_nothing() {
    let mut ledger = ledger();
    ledger.set_members(SETTLED_MS, None);
    assert_eq!(ledger.grant(SETTLED_MS, &wanted(1, 1)).turns, 0);
}

/// Guards against parts that grow while members that have left may still have granted theirs.
#[test]
fn parts_grow_a_window_after_members_left() {
    let mut ledger = ledger();
    ledger.set_members(SETTLED_MS, Some(3));
    assert_eq!(ledger.grant(SETTLED_MS, &wanted(0, 100)).turns, PART, "as before");
    let later_ms = SETTLED_MS + BOUNDS.span_ms();
    assert_eq!(ledger.grant(later_ms + 50, &wanted(0, 100)).turns, 22, "a third");
}

/// Guards against tokens that count as used after they came back, and against those that come back twice.
#[test_case("start", 3 => 3; "of this start")]
#[test_case("earlier", 3 => 0; "of an earlier start")]
#[test_case("start", 1_000 => PART; "more than were granted")]
fn tokens_come_back(start: &str, tokens: u32) -> u32 {
    let mut ledger = ledger();
    let slot = ledger.grant(SETTLED_MS, &wanted(0, 100)).slot;
    let returns = vec![AllotmentReturn { start: start.to_owned(), slot, tokens, starts: None }];
    ledger.grant(SETTLED_MS + 100, &AllotmentAsk { returns, ..wanted(0, 100) }).turns
}

/// Guards against a limit that an older configuration raises again.
#[test]
fn newest_terms_count() {
    let mut ledger = ledger();
    let lower = AllotmentAsk { version: 2, rate_per_s: 1.0, burst: 0.0, ..wanted(0, 100) };
    assert_eq!(ledger.grant(SETTLED_MS, &lower).turns, 2, "a fifth of 5.5, rounded up");
    assert_eq!(ledger.grant(SETTLED_MS, &wanted(0, 100)).turns, 0, "of the lower limit");
}

/// Guards against programs that begin and then find no room for their further requests.
#[test]
fn programs_under_way_go_first() {
    let mut ledger = ledger();
    for now_ms in (SETTLED_MS..SETTLED_MS + 60_000).step_by(1_500) {
        ledger.grant(now_ms, &wanted(1, 3));
    }
    let now_ms = SETTLED_MS + 70_000;
    let begun = ledger.grant(now_ms, &wanted(100, 0)).starts;
    assert!((2..=6).contains(&begun), "{begun} programs of about four requests begin in a part of {PART}");
    let under_way = ledger.grant(now_ms + 100, &wanted(0, 100)).turns;
    assert_eq!(begun + under_way, PART, "the rest is left for them");
}

/// Guards against a door that uses a token after it has lapsed, counted from its question.
#[test_case(0, true; "at once")]
#[test_case(499, true; "just in time")]
#[test_case(500, false; "too late")]
fn tokens_lapse(after_ms: u64, is_good: bool) {
    let mut door = DoorAllotments::new("door", BOUNDS);
    let asked = question(&mut door, 1_000, ProgramStanding::UnderWay, &[]);
    let token = door.answered(1_000 + after_ms, &asked, &grant(0, 1, None));
    assert_eq!(token.is_some(), is_good);
    let returned: u32 = door
        .take_returns(1_000 + after_ms)
        .iter()
        .flat_map(|(_, ask)| &ask.returns)
        .map(|unused| unused.tokens)
        .sum();
    assert_eq!(returned, u32::from(!is_good), "what has lapsed goes back");
}

/// Guards against tokens that are lost because a report found nothing of the workspace between question and answer.
#[test_case(ProgramStanding::New, 1, 0; "of a program that begins")]
#[test_case(ProgramStanding::UnderWay, 0, 3; "of one under way")]
fn report_before_the_answer_loses_no_tokens(standing: ProgramStanding, starts: u32, turns: u32) {
    let mut door = DoorAllotments::new("door", BOUNDS);
    let asked = question(&mut door, 0, standing, &[]);
    assert_eq!(door.take_returns(250), Vec::new());
    let token = door.answered(300, &asked, &grant(starts, turns, None));
    assert!(token.is_some(), "the request that asked has one");
    let rest: u32 =
        door.take_returns(500).iter().flat_map(|(_, ask)| &ask.returns).map(|unused| unused.tokens).sum();
    assert_eq!(rest, starts + turns - 1, "the others go back when they have lapsed");
}

/// Guards against a token that cannot go back because the workspace was forgotten while a request had it.
#[test_case(ProgramStanding::New, 1, Some(1); "of a program that begins")]
#[test_case(ProgramStanding::UnderWay, 0, None; "of one under way")]
fn token_goes_back_after_reports(standing: ProgramStanding, starts: u32, returned: Option<u32>) {
    let mut door = DoorAllotments::new("door", BOUNDS);
    let asked = question(&mut door, 0, standing, &[]);
    let token = door.answered(5, &asked, &grant(starts, 1 - starts, None)).expect("a token");
    for now_ms in (250..20_000).step_by(250) {
        assert_eq!(door.take_returns(now_ms), Vec::new());
    }
    door.give_back(20_000, "team", TERMS, token);
    let returns: Vec<AllotmentReturn> =
        door.take_returns(20_250).into_iter().flat_map(|(_, ask)| ask.returns).collect();
    let unused = AllotmentReturn { start: "start".to_owned(), slot: 7, tokens: 1, starts: returned };
    assert_eq!(returns, [unused]);
}

/// Guards against returns that are lost with a question that a node of another view has not looked at.
#[test]
fn returns_of_a_stale_question_go_again() {
    let mut door = DoorAllotments::new("door", BOUNDS);
    let first = question(&mut door, 0, ProgramStanding::New, &[]);
    let token = door.answered(5, &first, &grant(1, 0, None)).expect("a token");
    door.give_back(10, "team", TERMS, token);
    let stale = question(&mut door, 20, ProgramStanding::New, &[]);
    assert_eq!(stale.ask.returns.len(), 1);
    door.not_taken(30, &stale);
    let again = question(&mut door, 30, ProgramStanding::New, &[]);
    assert_eq!(again.member, stale.member, "it does not count as silent");
    assert_eq!(again.ask.returns, stale.ask.returns);
}

/// Guards against programs that keep others from beginning though they have not begun themselves.
#[test]
fn beginnings_that_come_back_make_room() {
    let mut ledger = ledger();
    for now_ms in (SETTLED_MS..SETTLED_MS + 60_000).step_by(1_500) {
        ledger.grant(now_ms, &wanted(1, 3));
    }
    let now_ms = SETTLED_MS + 70_000;
    let begun = ledger.grant(now_ms, &wanted(100, 0));
    assert_eq!(ledger.grant(now_ms + 10, &wanted(1, 0)).starts, 0, "no more may begin");
    let unused = AllotmentReturn {
        start: "start".to_owned(),
        slot: begun.slot,
        tokens: begun.starts,
        starts: Some(begun.starts),
    };
    let again = ledger.grant(now_ms + 20, &AllotmentAsk { returns: vec![unused], ..wanted(100, 0) });
    assert_eq!(again.starts, begun.starts);
}

/// Guards against a door that asks a node again which has said when it has tokens, and against a wrong time.
#[test]
fn refused_until_the_first_node_has_room() {
    let mut door = DoorAllotments::new("door", BOUNDS);
    let standing = ProgramStanding::New;
    let first = question(&mut door, 0, standing, &[]);
    assert_eq!(door.answered(5, &first, &grant(0, 0, Some(900))), None);
    let second = question(&mut door, 5, standing, std::slice::from_ref(&first.member));
    assert_ne!(first.member, second.member, "another node");
    assert_eq!(door.answered(10, &second, &grant(0, 0, Some(300))), None);
    let refused = door.admit(10, "team", TERMS, standing, &members(), &[]);
    assert_eq!(refused, Admission::Refused { retry_after_ms: 300 });
    assert_eq!(question(&mut door, 310, standing, &[]).member, second.member, "when it said");
}

/// Guards against requests under way that are refused because no more programs may begin.
#[test]
fn refused_beginnings_do_not_stop_programs_under_way() {
    let mut door = DoorAllotments::new("door", BOUNDS);
    let asked = question(&mut door, 0, ProgramStanding::New, &[]);
    door.answered(5, &asked, &grant(0, 0, Some(900)));
    assert_eq!(question(&mut door, 5, ProgramStanding::UnderWay, &[]).member, asked.member);
}

/// Guards against requests that pass, or that are told a limit, while no ledger node answers.
#[test]
fn nothing_is_known_without_answers() {
    let mut door = DoorAllotments::new("door", BOUNDS);
    let mut tried = Vec::new();
    for _ in 0..2 {
        let asked = question(&mut door, 0, ProgramStanding::UnderWay, &tried);
        door.unanswered(150, &asked);
        tried.push(asked.member);
    }
    let admission = door.admit(150, "team", TERMS, ProgramStanding::UnderWay, &members(), &[]);
    assert_eq!(admission, Admission::Unanswered);
}

/// Guards against questions for workspaces without a limit.
#[test]
fn unlimited_workspaces_ask_nothing() {
    let mut door = DoorAllotments::new("door", BOUNDS);
    let terms = AllotmentTerms { rate_per_s: 0.0, ..TERMS };
    let admission = door.admit(0, "team", terms, ProgramStanding::New, &members(), &[]);
    assert_eq!(admission, Admission::Granted(None));
}

/// Guards against turns that count as the beginning of a program.
#[test]
fn standing_in_a_program() {
    let mut programs = RecentPrograms::default();
    assert_eq!(programs.standing(0, Some("p"), None), ProgramStanding::New);
    assert_eq!(programs.standing(0, Some("p"), Some("turn")), ProgramStanding::UnderWay);
    programs.add(0, "p");
    assert_eq!(programs.standing(10, Some("p"), None), ProgramStanding::UnderWay, "seen before");
    assert_eq!(programs.standing(10, Some("q"), None), ProgramStanding::New);
    assert_eq!(programs.standing(60_000, Some("p"), None), ProgramStanding::New, "long ago");
}

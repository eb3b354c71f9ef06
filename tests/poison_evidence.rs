//! evidence on which an unanswered run counts against its content, or is cleared.

use std::collections::BTreeSet;

use bytes::Bytes;
use flamingostand::poison::ActiveRuns;
use flamingostand::poison::Content;
use flamingostand::poison::Evidence;
use flamingostand::poison::LifeSign;
use flamingostand::poison::PoisonState;
use flamingostand::poison::ReplicaRun;
use flamingostand::poison::SuspectRuns;
use flamingostand::poison::UnansweredRun;
use hyper::Method;
use hyper::Uri;

fn run(replica: &str, request: &str) -> ReplicaRun {
    ReplicaRun {
        content: "x".to_owned(),
        request: request.to_owned(),
        replica: replica.to_owned(),
        started_unix_ms: 100,
    }
}

/// when the weight of runs is looked at: later than all that happens in these tests.
const NOW_MS: u64 = 100_000;

/// adds a run that began at `begun_ms` and ended at `now_ms`; its replica was not heard in between.
fn add(suspects: &mut SuspectRuns, now_ms: u64, begun_ms: u64, run: ReplicaRun, is_silent: bool) {
    let unanswered = UnansweredRun { run, begun_ms, heard_ms: begun_ms, is_silent };
    assert_eq!(suspects.add(now_ms, unanswered), None);
}

/// Guards against missing a replica that crashed without closing its connections, once it has restarted.
#[test]
fn restart_counts_runs_of_the_previous_process() {
    let mut suspects = SuspectRuns::default();
    add(&mut suspects, 0, 0, run("a", "1"), false);
    add(&mut suspects, 0, 0, run("b", "2"), false);
    assert_eq!(suspects.replica_started("a", 101), [(run("a", "1"), Evidence::Restarted)]);
    assert!(suspects.replica_started("a", 102).is_empty(), "a run counts once");
}

/// Guards against counting a run because its replica refreshed its entry.
#[test]
fn heartbeat_of_the_same_process_counts_nothing() {
    let mut suspects = SuspectRuns::default();
    add(&mut suspects, 0, 0, run("a", "1"), true);
    assert!(suspects.replica_started("a", 100).is_empty());
    assert_eq!(suspects.replica_started("a", 101).len(), 1);
}

/// Guards against counting a slow run because its replica was removed in the usual way.
#[test]
fn gone_entry_counts_only_silent_replicas() {
    let mut suspects = SuspectRuns::default();
    add(&mut suspects, 0, 0, run("a", "slow"), false);
    add(&mut suspects, 0, 0, run("a", "silent"), true);
    assert_eq!(suspects.replica_gone("a"), [(run("a", "silent"), Evidence::Gone)]);
}

/// Guards against counting an old run when its replica is replaced.
#[test]
fn old_runs_expire() {
    let mut suspects = SuspectRuns::default();
    add(&mut suspects, 0, 0, run("a", "1"), true);
    suspects.expire(14_999, true);
    add(&mut suspects, 14_999, 14_999, run("a", "2"), true);
    suspects.expire(15_000, true);
    assert_eq!(suspects.replica_started("a", 101), [(run("a", "2"), Evidence::Restarted)]);
}

/// Guards against counting two runs of one request as one victim.
#[test]
fn victims_of_one_request_differ_by_replica() {
    assert_ne!(run("a", "1").to_strike(), run("b", "1").to_strike());
    assert_eq!(run("a", "1").to_strike(), run("a", "1").to_strike());
}

/// an answer of replica `a` over a connection that was opened at `connected_ms`.
fn answer(connected_ms: u64) -> LifeSign<'static> {
    LifeSign { replica: "a", started_unix_ms: 100, connected_ms }
}

/// Guards against holding a content because of replicas that go on answering others.
#[test]
fn answer_of_the_same_process_clears_a_run() {
    let mut suspects = SuspectRuns::default();
    add(&mut suspects, 1_000, 500, run("a", "1"), false);
    add(&mut suspects, 1_000, 500, run("b", "2"), false);
    assert_eq!(suspects.replica_answered(1_100, &answer(500)), [run("a", "1")]);
    assert_eq!(suspects.unresolved(NOW_MS).collect::<Vec<_>>(), [&run("b", "2")]);
    assert_eq!(suspects.replica_started("a", 101).len(), 1, "a restart soon after still counts");
}

/// Guards against taking an answer for a sign of life that left the replica before the run ended it.
#[test]
fn answer_on_its_way_clears_nothing() {
    let mut suspects = SuspectRuns::default();
    add(&mut suspects, 1_000, 500, run("a", "1"), false);
    assert!(suspects.replica_answered(1_099, &answer(0)).is_empty());
    assert_eq!(suspects.unresolved(NOW_MS).count(), 1);
}

/// Guards against clearing a run by an answer of the replica's next process, which may have the same id.
#[test]
fn later_connection_clears_a_run_only_once_a_restart_would_be_listed() {
    let mut suspects = SuspectRuns::default();
    add(&mut suspects, 1_000, 500, run("a", "1"), false);
    assert!(suspects.replica_answered(2_000, &answer(501)).is_empty());
    assert!(suspects.expire(4_999, true).is_empty());
    assert!(suspects.expire(5_000, false).is_empty(), "the list shows no restart while it is out of date");
    assert!(suspects.expire(7_999, true).is_empty());
    assert_eq!(suspects.expire(8_000, true), [run("a", "1")]);
    assert_eq!(suspects.unresolved(NOW_MS).count(), 0);
}

/// Guards against runs that weigh nothing while their callers wait for a silent replica.
#[test]
fn run_at_a_silent_replica_is_overdue() {
    let content = |name: &'static str| {
        Content::new(&Method::POST, None, &Uri::from_static("/p"), &Bytes::from_static(name.as_bytes()), None)
    };
    let mut active = ActiveRuns::default();
    let first = active.begin(0, content("x"), "1".to_owned(), "a".to_owned(), 100);
    active.begin(500, content("y"), "2".to_owned(), "a".to_owned(), 100);
    assert_eq!(active.overdue(999).count(), 0);
    assert_eq!(active.overdue(1_000).map(|run| run.request).collect::<Vec<_>>(), ["1"]);
    active.record_life_sign(1_200, &answer(600));
    assert_eq!(active.overdue(1_500).count(), 2, "a later process may have opened that connection");
    active.record_life_sign(1_600, &answer(300));
    assert_eq!(active.overdue(1_600).map(|run| run.request).collect::<Vec<_>>(), ["1"]);
    active.record_progress(1_700, first);
    assert_eq!(active.overdue(2_500).count(), 0);
}

/// Guards against a run that is cleared by an answer of its replica, which goes on with it and ends later.
#[test]
fn run_weighs_again_if_its_replica_goes_soon_after_an_answer() {
    let mut suspects = SuspectRuns::default();
    add(&mut suspects, 1_000, 500, run("a", "1"), false);
    suspects.replica_answered(1_500, &answer(500));
    suspects.expire(2_000, true);
    assert_eq!(suspects.reopen("b"), []);
    assert_eq!(suspects.reopen("a"), [run("a", "1")]);
    assert_eq!(suspects.unresolved(NOW_MS).count(), 1);
    suspects.replica_answered(2_500, &answer(500));
    assert_eq!(suspects.unresolved(NOW_MS).count(), 0, "the entry had only lapsed");
    suspects.expire(16_000, true);
    assert_eq!(suspects.reopen("a"), [], "a replica that goes long after its answer");
}

/// Guards against holding a content that has been run to its end because of a replica that goes.
#[test]
fn run_of_a_content_that_succeeded_stays_cleared() {
    let mut suspects = SuspectRuns::default();
    add(&mut suspects, 1_000, 500, run("a", "1"), false);
    suspects.content_succeeded("x");
    assert_eq!(suspects.reopen("a"), []);
    assert_eq!(suspects.unresolved(NOW_MS).count(), 0);
}

/// Guards against a cut of the door that explains a run although its replica was silent long before the others.
#[test]
fn cut_explains_only_runs_that_it_may_have_ended() {
    let mut suspects = SuspectRuns::default();
    add(&mut suspects, 2_500, 500, run("a", "overdue"), false);
    add(&mut suspects, 2_500, 1_600, run("b", "under way"), false);
    add(&mut suspects, 2_500, 1_600, run("c", "under way as well"), false);
    assert_eq!(suspects.way_was_cut(2_000), [run("c", "under way as well")], "one of a content still weighs");
    let weighing: Vec<_> = suspects.unresolved(2_500).collect();
    assert_eq!(weighing, [&run("a", "overdue"), &run("b", "under way")]);
    assert_eq!(suspects.way_was_cut(2_000), [], "each is told once");
}

/// Guards against a run that a cut explains for good although its replica is never heard again.
#[test]
fn explained_run_weighs_again_unless_its_replica_is_heard_after_the_cut() {
    let mut suspects = SuspectRuns::default();
    add(&mut suspects, 1_000, 500, run("d", "first"), false);
    add(&mut suspects, 1_000, 500, run("a", "silent"), false);
    add(&mut suspects, 1_000, 500, run("b", "heard"), false);
    add(&mut suspects, 1_000, 500, run("c", "gone"), false);
    suspects.way_was_cut(700);
    assert_eq!(suspects.unresolved(60_000).collect::<Vec<_>>(), [&run("d", "first")], "the cut lasts");
    suspects.way_is_back(6_000);
    suspects.replica_answered(7_000, &LifeSign { replica: "b", started_unix_ms: 100, connected_ms: 500 });
    assert_eq!(suspects.reopen("c"), [run("c", "gone")]);
    assert_eq!(suspects.unresolved(15_999).collect::<Vec<_>>(), [&run("d", "first"), &run("c", "gone")]);
    let weighing: Vec<_> = suspects.unresolved(16_000).collect();
    assert_eq!(weighing, [&run("d", "first"), &run("a", "silent"), &run("c", "gone")]);
}

/// Guards against runs in flight that no report has room for, as those that are told already take it up.
#[test]
fn overdue_runs_are_not_reported_as_in_flight() {
    let mut door = PoisonState::default();
    let begin = |door: &mut PoisonState, begun_ms: u64, number: usize| {
        let body = Bytes::from(format!("text {number}"));
        let content = Content::new(&Method::POST, None, &Uri::from_static("/p"), &body, None);
        door.active.begin(begun_ms, content, number.to_string(), "a".to_owned(), 100);
    };
    for number in 0..100 {
        begin(&mut door, 0, number);
    }
    begin(&mut door, 900, 100);
    door.update_local(1_100);
    assert_eq!(door.unresolved_counts(), (100, 100));
    let in_flight: Vec<String> = door.in_flight_runs(1_100).into_iter().map(|run| run.request).collect();
    assert_eq!(in_flight, ["100"]);
}

/// Guards against a content that stays held because the replicas of another one, which never answer, take up all
/// checks.
#[test]
fn replicas_of_all_suspected_contents_are_checked_in_turn() {
    let mut door = PoisonState::default();
    for content in ["a", "b", "c"] {
        for number in 0..5 {
            let run = ReplicaRun { content: content.to_owned(), ..run(&format!("{content}-{number}"), "1") };
            door.suspect(0, UnansweredRun { run, begun_ms: 0, heard_ms: 0, is_silent: false });
        }
    }
    let mut checked = BTreeSet::new();
    for _ in 0..4 {
        checked.extend(door.runs_to_check().into_iter().map(|run| run.replica));
    }
    assert_eq!(checked.len(), 15);
}

/// Guards against a path that is refused to all because replicas were silent under one content sent to it.
#[test]
fn silence_under_a_content_does_not_hold_its_path() {
    let content = |text: &'static str| {
        Content::new(&Method::POST, None, &Uri::from_static("/p"), &Bytes::from_static(text.as_bytes()), None)
    };
    let mut door = PoisonState::default();
    for replica in ["a", "b", "c"] {
        let run = door.active.begin(0, content("lost"), format!("at-{replica}"), replica.to_owned(), 1);
        let ended = door.active.remove(run).expect("it runs");
        door.suspect_all(0, &ended, true);
    }
    assert!(door.hold_any(1, content("lost").digests()).is_some());
    assert_eq!(door.hold_any(1, content("other").digests()), None);
}

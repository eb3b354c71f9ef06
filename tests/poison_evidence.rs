//! which runs count against a content, by what is seen of their replicas afterwards.

use flamingostand::poison::Evidence;
use flamingostand::poison::ReplicaRun;
use flamingostand::poison::SuspectRuns;

fn run(replica: &str, request: &str) -> ReplicaRun {
    ReplicaRun {
        content: "x".to_owned(),
        request: request.to_owned(),
        replica: replica.to_owned(),
        started_unix_ms: 100,
    }
}

/// Guards against a replica that ends without closing its connections and is not counted once it is back.
#[test]
fn restart_counts_runs_of_the_start_before() {
    let mut suspects = SuspectRuns::default();
    suspects.add(0, run("a", "1"), false);
    suspects.add(0, run("b", "2"), false);
    assert_eq!(suspects.replica_started("a", 101), [(run("a", "1"), Evidence::Restarted)]);
    assert!(suspects.replica_started("a", 102).is_empty(), "a run counts once");
}

/// Guards against a run that counts because its replica wrote its entry again.
#[test]
fn heartbeat_of_the_same_start_counts_nothing() {
    let mut suspects = SuspectRuns::default();
    suspects.add(0, run("a", "1"), true);
    assert!(suspects.replica_started("a", 100).is_empty());
    assert_eq!(suspects.replica_started("a", 101).len(), 1);
}

/// Guards against slow runs that count because their replica left in the usual way.
#[test]
fn gone_entry_counts_only_silent_replicas() {
    let mut suspects = SuspectRuns::default();
    suspects.add(0, run("a", "slow"), false);
    suspects.add(0, run("a", "silent"), true);
    assert_eq!(suspects.replica_gone("a"), [(run("a", "silent"), Evidence::Gone)]);
}

/// Guards against runs of long ago that count when a replica is replaced.
#[test]
fn old_runs_are_given_up() {
    let mut suspects = SuspectRuns::default();
    suspects.add(0, run("a", "1"), true);
    suspects.expire(14_999);
    suspects.add(14_999, run("a", "2"), true);
    suspects.expire(15_000);
    assert_eq!(suspects.replica_started("a", 101), [(run("a", "2"), Evidence::Restarted)]);
}

/// Guards against two runs of one request that count as one victim.
#[test]
fn victims_of_one_request_differ_by_replica() {
    assert_ne!(run("a", "1").into_strike(), run("b", "1").into_strike());
    assert_eq!(run("a", "1").into_strike(), run("a", "1").into_strike());
}

//! counting of victims by content, and delivery of strikes to ledger nodes.

use flamingostand::poison::PendingRecords;
use flamingostand::poison::Strikes;
use flamingostand::schema::LedgerStrikes;
use flamingostand::schema::PoisonStrike;

fn strike(content: &str, victim: &str) -> PoisonStrike {
    PoisonStrike { content: content.to_owned(), victim: victim.to_owned(), acquitted: None }
}

/// Guards against a content that is refused too late, or too soon because a victim is reported twice or two
/// replicas ended by coincidence.
#[test]
fn content_is_refused_after_three_victims() {
    let mut strikes = Strikes::default();
    assert_eq!(strikes.add(0, &strike("x", "1")), Some(1));
    assert_eq!(strikes.add(1, &strike("x", "1")), None, "the same victim reported twice");
    assert!(!strikes.is_held("x"));
    assert_eq!(strikes.add(2, &strike("x", "2")), Some(2));
    assert!(!strikes.is_held("x"), "two may be coincidence");
    assert_eq!(strikes.add(3, &strike("x", "3")), Some(3));
    assert!(strikes.is_held("x") && !strikes.is_held("y"));
}

/// Guards against contents that are never dropped.
#[test]
fn content_is_dropped_after_its_retention() {
    let mut strikes = Strikes::default();
    strikes.add(0, &strike("x", "1"));
    strikes.add(500_000, &strike("x", "2"));
    assert!(strikes.expire(1_099_999).is_empty());
    assert!(strikes.expire(1_100_000).contains("x"));
    assert!(strikes.is_empty());
}

/// Guards against a held content that is evicted by many contents with one victim each.
#[test]
fn held_content_is_not_evicted_by_a_flood() {
    let mut strikes = Strikes::default();
    strikes.add(0, &strike("held", "1"));
    strikes.add(0, &strike("held", "2"));
    strikes.add(0, &strike("held", "3"));
    for number in 0..20_000_u64 {
        strikes.add(1 + number, &strike(&format!("x{number}"), "1"));
    }
    assert!(strikes.is_held("held"));
    assert_eq!(strikes.victim_count("x0"), 0);
    assert_eq!(strikes.victim_count("x19999"), 1);
}

/// Guards against a strike that is sent once and lost on the way.
#[test]
fn strike_is_sent_until_a_quorum_has_stored_it() {
    let mut pending = PendingRecords::default();
    let sent = LedgerStrikes { strikes: vec![strike("x", "1")], runs: Vec::new() };
    pending.add_strike(strike("x", "1"));
    assert_eq!(pending.next_batch(1, "a").as_ref(), Some(&sent));
    assert!(pending.next_batch(1, "a").is_none(), "a request is in flight");
    assert_eq!(pending.next_batch(1, "b").as_ref(), Some(&sent));
    pending.request_failed(1, "a");
    assert_eq!(pending.next_batch(1, "a").as_ref(), Some(&sent), "a failed request is repeated");
    pending.acknowledge(1, "b", &sent, 2);
    assert!(!pending.is_empty(), "one of two nodes is no quorum");
    pending.acknowledge(1, "a", &sent, 2);
    assert!(pending.is_empty());
}

/// Guards against a strike that counts as stored although one of its two disks was lost before the other had
/// stored it.
#[test]
fn stored_counts_within_one_view() {
    let mut pending = PendingRecords::default();
    let sent = LedgerStrikes { strikes: vec![strike("x", "1")], runs: Vec::new() };
    pending.add_strike(strike("x", "1"));
    pending.next_batch(1, "a");
    pending.acknowledge(1, "a", &sent, 2);
    assert_eq!(pending.next_batch(2, "b").as_ref(), Some(&sent));
    pending.acknowledge(2, "b", &sent, 2);
    assert!(!pending.is_empty(), "the disk that stored it in the previous view may be lost");
    assert_eq!(pending.next_batch(2, "a").as_ref(), Some(&sent));
    pending.acknowledge(1, "a", &sent, 2);
    assert!(!pending.is_empty(), "a late answer of the previous view");
    pending.acknowledge(2, "a", &sent, 2);
    assert!(pending.is_empty());
}

/// Guards against refusing a content that was at the replicas which another one has ended, and against taking a deadly
/// content for one of these for good.
#[test]
fn ends_under_a_worse_content_are_explained() {
    let mut strikes = Strikes::default();
    for victim in ["a/1/x", "b/1/x", "c/1/x"] {
        strikes.add(0, &strike("x", victim));
    }
    assert!(strikes.is_held("x"));
    for victim in ["a/1/f1", "b/1/f2", "c/1/f3", "d/1/f4"] {
        strikes.add(0, &strike("f", victim));
    }
    assert!(strikes.is_held("f") && !strikes.is_held("x"));
    strikes.add(0, &strike("x", "e/1/x"));
    assert!(strikes.is_held("x"), "no other content was at the last end");
}

/// Guards against refusing a path to all because of one content that is sent to it.
#[test]
fn path_is_explained_by_its_content() {
    let mut strikes = Strikes::default();
    for victim in ["a/1/1", "b/1/2", "c/1/3"] {
        strikes.add(0, &strike("x", victim));
        strikes.add(0, &strike("path:p", victim));
    }
    assert!(strikes.is_held("x") && !strikes.is_held("path:p"));
    strikes.add(0, &strike("path:p", "d/1/4"));
    assert!(strikes.is_held("path:p"), "another content sent to the path ended a replica");
}

/// Guards against counting several runs at one replica as several ends of it.
#[test]
fn runs_at_one_process_count_once() {
    let mut strikes = Strikes::default();
    for victim in ["a/1/1", "a/1/2", "a/1/3"] {
        strikes.add(0, &strike("x", victim));
    }
    assert_eq!(strikes.victim_count("x"), 1);
    strikes.add(0, &strike("x", "a/2/4"));
    strikes.add(0, &strike("x", "a/3/5"));
    assert!(strikes.is_held("x"), "three processes of one replica");
}

/// Guards against a content that stays refused after a replica has run it to its end, and against an acquittal that is
/// undone by a strike told late.
#[test]
fn acquitted_strikes_do_not_count() {
    let mut strikes = Strikes::default();
    for victim in ["a/1/1", "b/1/2", "c/1/3"] {
        strikes.add(0, &strike("x", victim));
    }
    let told = strikes.acquit(0, "x");
    assert!(!strikes.is_held("x") && told.len() == 3);
    assert_eq!(strikes.add(0, &strike("x", "a/1/1")), None);
    let mut other = Strikes::default();
    for acquitted in &told {
        other.add(0, acquitted);
    }
    for victim in ["a/1/1", "b/1/2", "c/1/3"] {
        other.add(0, &strike("x", victim));
    }
    assert_eq!((other.is_held("x"), other.victim_count("x")), (false, 0));
}

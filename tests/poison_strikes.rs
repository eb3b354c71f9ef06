//! how doors and ledger nodes count replicas that ended under a content.

use flamingostand::poison::PendingStrikes;
use flamingostand::poison::Strikes;
use flamingostand::schema::PoisonStrike;

fn strike(content: &str, victim: &str) -> PoisonStrike {
    PoisonStrike { content: content.to_owned(), victim: victim.to_owned() }
}

/// Guards against a content that is refused too soon, because one victim is told twice or two replicas ended together,
/// or too late.
#[test]
fn content_is_refused_after_three_victims() {
    let mut strikes = Strikes::default();
    assert_eq!(strikes.add(0, &strike("x", "1")), Some(1));
    assert_eq!(strikes.add(1, &strike("x", "1")), None, "the same victim told twice");
    assert!(!strikes.is_held("x"));
    assert_eq!(strikes.add(2, &strike("x", "2")), Some(2));
    assert!(!strikes.is_held("x"), "two may be chance");
    assert_eq!(strikes.add(3, &strike("x", "3")), Some(3));
    assert!(strikes.is_held("x") && !strikes.is_held("y"));
}

/// Guards against contents that are remembered for ever.
#[test]
fn content_is_forgotten_after_a_while() {
    let mut strikes = Strikes::default();
    strikes.add(0, &strike("x", "1"));
    strikes.add(500_000, &strike("x", "2"));
    assert!(strikes.expire(1_099_999).is_empty());
    assert!(strikes.expire(1_100_000).contains("x"));
    assert!(strikes.is_empty());
}

/// Guards against a held content that is pushed out by many with one victim each.
#[test]
fn held_content_outlives_a_flood() {
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

/// Guards against a strike that is told once and lost on the way.
#[test]
fn strike_is_told_until_enough_nodes_have_it() {
    let mut pending = PendingStrikes::default();
    let told = [strike("x", "1")];
    pending.add(told[0].clone());
    assert_eq!(pending.next_batch(1, "a"), told);
    assert!(pending.next_batch(1, "a").is_empty(), "a node that was asked is left to answer");
    assert_eq!(pending.next_batch(1, "b"), told);
    pending.request_failed(1, "a");
    assert_eq!(pending.next_batch(1, "a"), told, "no answer: told again");
    pending.acknowledge(1, "b", &told, 2);
    assert!(!pending.is_empty(), "one of two is not enough");
    pending.acknowledge(1, "a", &told, 2);
    assert!(pending.is_empty());
}

/// Guards against a strike that counts as stored although one of its two disks was lost before the other had it.
#[test]
fn stored_counts_within_one_view() {
    let mut pending = PendingStrikes::default();
    let told = [strike("x", "1")];
    pending.add(told[0].clone());
    pending.next_batch(1, "a");
    pending.acknowledge(1, "a", &told, 2);
    assert_eq!(pending.next_batch(2, "b"), told);
    pending.acknowledge(2, "b", &told, 2);
    assert!(!pending.is_empty(), "the disk that had it in the view before may be gone");
    assert_eq!(pending.next_batch(2, "a"), told);
    pending.acknowledge(1, "a", &told, 2);
    assert!(!pending.is_empty(), "a late answer of the view before");
    pending.acknowledge(2, "a", &told, 2);
    assert!(pending.is_empty());
}

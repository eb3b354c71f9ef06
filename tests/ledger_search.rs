//! how doors find the ledger. Pattern of load: all doors of a fleet start at once, or lose the ledger at once, and each
//! call to the platform is charged.

use flamingostand::door::LedgerDiscovery;
use test_case::test_case;

/// pause of a door between two looks.
const LOOK_EVERY_MS: u64 = 150;

/// calls of one door whose ledger is in reach from `found_ms` on.
fn calls(seed: u64, found_ms: u64, until_ms: u64) -> usize {
    let mut search = LedgerDiscovery::new(seed);
    let mut calls = 0;
    for now_ms in (0..until_ms).step_by(LOOK_EVERY_MS as usize) {
        if now_ms >= found_ms {
            search.mark_reachable();
        } else if search.is_due(now_ms) {
            calls += 1;
        }
    }
    calls
}

#[test_case(300, 0; "nodes that answer at once cost no call")]
#[test_case(1_500, 83 * 3; "a start of the whole fleet")]
fn start_of_all_doors(found_ms: u64, most_calls: usize) {
    let sum: usize = (0..83).map(|seed| calls(seed, found_ms, 20_000)).sum();
    assert!(sum <= most_calls, "{sum} calls");
}

#[test]
fn long_outage_is_asked_about_rarely() {
    for seed in 0..100 {
        let calls = calls(seed, u64::MAX, 60_000);
        assert!((25..=65).contains(&calls), "{calls} calls in a minute");
    }
}

#[test]
fn replaced_view_is_read_again() {
    let mut search = LedgerDiscovery::new(1);
    assert!(!search.is_due(0));
    search.mark_reachable();
    // Cut off for a while: all members of the view that the door knows are gone for good.
    assert!(!search.is_due(50_000), "the nodes that it knows get a moment to answer");
    assert!(search.is_due(50_600));
}

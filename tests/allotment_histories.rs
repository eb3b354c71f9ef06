//! seeded histories of doors and ledger nodes that divide allotments, in virtual time, against a plain count of
//! every window.

mod allotment_world;

use std::ops::Range;

use allotment_world::Troubles;
use allotment_world::World;
use test_case::test_case;

/// histories, over all kinds.
const SEEDS: u64 = 2_000;
/// kinds of histories below.
const KINDS: u64 = 4;
/// part of a scarce allotment that is used while all doors are in touch.
const MIN_USED_SHARE: f64 = 0.9;

fn seeds() -> impl Iterator<Item = u64> {
    let read = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first: u64 = read("ALLOTMENT_FIRST").unwrap_or(1);
    let count: u64 = read("ALLOTMENT_SEEDS").unwrap_or(SEEDS / KINDS);
    first..first + count
}

fn assert_none(failed: &[String]) {
    let shown = &failed[..failed.len().min(5)];
    assert!(failed.is_empty(), "{} histories failed: {shown:#?}", failed.len());
}

/// Guards against more requests in some window than the allotment and its overshoot allow.
#[test_case(Troubles::default(); "calm")]
#[test_case(Troubles { doors_fail: true, ..Troubles::default() }; "doors come, go, freeze and are cut")]
#[test_case(Troubles { doors_fail: true, nodes_restart: true, limits_change: true, ..Troubles::default() }; "limits change and nodes restart")]
#[test_case(Troubles { doors_fail: true, nodes_restart: true, limits_change: true, views_change: true }; "views change too")]
fn windows_stay_within_the_bound(troubles: Troubles) {
    let mut failed = Vec::new();
    let mut passed = 0;
    for seed in seeds() {
        let mut world = World::new(seed, troubles);
        world.play();
        passed += world.passed_count();
        failed.extend(world.overused().map(|what| format!("seed {seed}: {what}")));
    }
    assert_none(&failed);
    assert!(passed > 0, "requests pass");
}

/// Guards against requests that are refused although what is asked stays below the allotment.
#[test]
fn nothing_below_the_allotment_is_refused() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let mut world = World::new(seed, Troubles::default());
        world.play();
        failed.extend(world.refused_below().map(|what| format!("seed {seed}: {what}")));
    }
    assert_none(&failed);
}

/// Guards against allotments that lie idle at some doors while others refuse.
#[test_case(3.0..6.0; "far above")]
#[test_case(1.5..5.0; "above")]
fn scarce_allotments_are_used(multiple: Range<f64>) {
    let mut failed = Vec::new();
    for seed in seeds() {
        let mut world = World::scarce(seed, multiple.clone());
        world.play();
        let share = world.used_share();
        if share < MIN_USED_SHARE {
            failed.push(format!("seed {seed}: {share:.3} is used {}", world.summary()));
        }
    }
    assert_none(&failed);
}

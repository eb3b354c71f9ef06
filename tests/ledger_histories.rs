//! seeded histories of the ledger under crashes, power losses, lost disks, cuts, outages, added and emptied nodes:
//! no budget is overspent, no confirmed turn is lost or mixed up.

mod ledger_world;

use ledger_world::World;
use test_case::test_case;

/// seeds of one run; `LEDGER_SEEDS` asks for more by hand.
const SEEDS: u64 = 300;

fn first(seed: u64) -> u64 {
    std::env::var("LEDGER_FIRST").ok().and_then(|text| text.parse().ok()).unwrap_or(seed)
}

fn seeds() -> u64 {
    std::env::var("LEDGER_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

#[test_case(0, 0; "calm")]
#[test_case(6, 1_000_000; "some faults")]
#[test_case(25, 2_000_000; "many faults")]
fn one_disk_may_be_lost(faults: usize, first_seed: u64) {
    for seed in first(first_seed)..first(first_seed) + seeds() {
        eprintln!("seed {seed}");
        World::new(seed, 1).run(faults, 60);
    }
}

#[test]
fn two_disks_may_be_lost() {
    for seed in first(3_000_000)..first(3_000_000) + seeds().div_ceil(3) {
        eprintln!("seed {seed}");
        World::new(seed, 2).run(15, 60);
    }
}

/// Guards against a replica that ended under a content and is forgotten, although enough disks had stored it.
#[test_case(8, 4_000_000, 1; "one disk may be lost")]
#[test_case(12, 5_000_000, 2; "two disks may be lost")]
fn confirmed_strikes_are_kept(faults: usize, first_seed: u64, lost_disks: u32) {
    for seed in first(first_seed)..first(first_seed) + seeds().div_ceil(3) {
        eprintln!("seed {seed}");
        World::new(seed, lost_disks).run_with_strikes(faults, 12);
    }
}

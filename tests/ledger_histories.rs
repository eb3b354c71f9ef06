//! seeded simulations of the ledger with crashes, power losses, lost disks, network partitions, platform
//! outages, added and retired nodes: no budget is overspent, no confirmed turn is lost or has a wrong history,
//! and no stream goes on at another software version.

mod ledger_world;

use ledger_world::World;
use test_case::test_case;

/// seeds per test case; `LEDGER_SEEDS` sets another count, `LEDGER_FIRST` another first seed.
const SEEDS: u64 = 300;

fn first_seed_or(default: u64) -> u64 {
    std::env::var("LEDGER_FIRST").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn seed_count() -> u64 {
    std::env::var("LEDGER_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

#[test_case(0, 0; "calm")]
#[test_case(6, 1_000_000; "some faults")]
#[test_case(25, 2_000_000; "many faults")]
fn one_disk_may_be_lost(faults: usize, first_seed: u64) {
    for seed in first_seed_or(first_seed)..first_seed_or(first_seed) + seed_count() {
        eprintln!("seed {seed}");
        World::new(seed, 1).run(faults, 60);
    }
}

#[test]
fn two_disks_may_be_lost() {
    for seed in first_seed_or(3_000_000)..first_seed_or(3_000_000) + seed_count().div_ceil(3) {
        eprintln!("seed {seed}");
        World::new(seed, 2).run(15, 60);
    }
}

/// Guards against a strike that is lost although a write quorum has stored it.
#[test_case(8, 4_000_000, 1; "one disk may be lost")]
#[test_case(12, 5_000_000, 2; "two disks may be lost")]
fn confirmed_strikes_are_kept(faults: usize, first_seed: u64, lost_disks: u32) {
    for seed in first_seed_or(first_seed)..first_seed_or(first_seed) + seed_count().div_ceil(3) {
        eprintln!("seed {seed}");
        World::new(seed, lost_disks).run_with_strikes(faults, 12);
    }
}

/// Guards against a stream that goes on at another version than the one that began it, and against one that does
/// not go on though its version serves.
#[test_case(0, 6_000_000, 1; "calm")]
#[test_case(8, 7_000_000, 1; "one disk may be lost")]
#[test_case(25, 8_000_000, 1; "many faults")]
#[test_case(12, 9_000_000, 2; "two disks may be lost")]
fn streams_go_on_at_their_version(faults: usize, first_seed: u64, lost_disks: u32) {
    for seed in first_seed_or(first_seed)..first_seed_or(first_seed) + seed_count().div_ceil(3) {
        eprintln!("seed {seed}");
        World::new(seed, lost_disks).run_with_streams(faults, 12);
    }
}

/// Guards against a history that loses its oldest turns although its newest turn is kept, as no node holds all of it.
#[test_case(0, 10_000_000, 1; "calm")]
#[test_case(12, 11_000_000, 1; "one disk may be lost")]
#[test_case(40, 12_000_000, 1; "many faults")]
#[test_case(60, 13_000_000, 2; "two disks may be lost")]
fn histories_outlast_their_newest_turn(faults: usize, first_seed: u64, lost_disks: u32) {
    for seed in first_seed_or(first_seed)..first_seed_or(first_seed) + seed_count().div_ceil(6) {
        eprintln!("seed {seed}");
        World::new(seed, lost_disks).run_with_pauses(faults, 6, 3_000);
    }
}

/// Guards against a history that has expired by the time at which the turn that goes on from it ends.
#[test_case(0, 18_000_000, 1; "calm")]
#[test_case(12, 19_000_000, 1; "one disk may be lost")]
fn histories_outlast_long_turns(faults: usize, first_seed: u64, lost_disks: u32) {
    for seed in first_seed_or(first_seed)..first_seed_or(first_seed) + seed_count().div_ceil(6) {
        eprintln!("seed {seed}");
        World::new(seed, lost_disks).run_with_pauses(faults, 6, 60_000);
    }
}

/// Guards against a reservation that a door ends while another door still runs the turn.
#[test_case(0, 14_000_000, 1; "calm")]
#[test_case(8, 15_000_000, 1; "one disk may be lost")]
#[test_case(25, 16_000_000, 1; "many faults")]
#[test_case(12, 17_000_000, 2; "two disks may be lost")]
fn passed_turns_stay_within_their_budget(faults: usize, first_seed: u64, lost_disks: u32) {
    for seed in first_seed_or(first_seed)..first_seed_or(first_seed) + seed_count().div_ceil(3) {
        eprintln!("seed {seed}");
        World::new(seed, lost_disks).run_with_passed_turns(faults, 80);
    }
}

//! seeded histories of owners under faults, against a naive reference.

use test_case::test_case;

#[path = "support/owner_world/mod.rs"]
mod owner_world;

use owner_world::Plan;
use owner_world::Simulation;

/// histories of one case.
const CASE_HISTORIES: u64 = 250;

fn run(seed: u64) {
    if let Err(why) = Simulation::new(Plan::seeded(seed)).run() {
        panic!("seed {seed}: {why}");
    }
}

#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
#[test_case(7)]
fn histories_hold(part: u64) {
    for seed in part * CASE_HISTORIES..(part + 1) * CASE_HISTORIES {
        run(seed);
    }
}

/// longest outage of the platform that is tried.
const HOUR_MS: u64 = 3_600_000;

#[test_case(11)]
fn hour_without_platform(seed: u64) {
    let mut plan = Plan::seeded(seed);
    plan.programs = 1;
    plan.faults.outages = 3;
    plan.faults.kills = 1;
    plan.faults.outage_ms = HOUR_MS;
    plan.faults.active_ms = 900;
    match Simulation::new(plan).run() {
        Ok(report) => assert!(report.ended_ms > HOUR_MS / 4, "the outage met no caller"),
        Err(why) => panic!("seed {seed}: {why}"),
    }
}

#[test_case(2475; "repeat after not_run")]
#[test_case(3693; "look up while draining")]
#[test_case(3466; "slot back before give is settled")]
#[test_case(10699; "seal on a deleted number")]
#[test_case(3815; "late write of deleted entry")]
fn failed_before(seed: u64) {
    run(seed);
}

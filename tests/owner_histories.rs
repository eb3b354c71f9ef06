//! randomized simulations of owners under faults, checked against a reference model.
//!
//! A seed determines the whole simulation, so that a failure can be repeated.

use test_case::test_case;

#[path = "support/owner_world/mod.rs"]
mod owner_world;

use owner_world::Plan;
use owner_world::Simulation;

/// seeds per test case.
const SEEDS_PER_CASE: u64 = 250;

fn run(seed: u64) {
    if let Err(error) = Simulation::new(Plan::seeded(seed)).run() {
        panic!("seed {seed}: {error}");
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
    for seed in part * SEEDS_PER_CASE..(part + 1) * SEEDS_PER_CASE {
        run(seed);
    }
}

/// longest outage of the platform, as the plan bounds it.
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
        Err(error) => panic!("seed {seed}: {error}"),
    }
}

/// seeds that failed before, by the fault that each found.
#[test_case(2475; "retry after not_run")]
#[test_case(3693; "lookup while draining")]
#[test_case(3466; "slot returns before its handover is settled")]
#[test_case(10699; "seal on the number of a deleted entry")]
#[test_case(3815; "delayed write of a deleted entry")]
fn regressions(seed: u64) {
    run(seed);
}

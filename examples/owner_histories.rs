//! runs many seeded histories of owners under faults: `owner_histories [count] [first seed] [times]`, with
//! so many times the faults and turns.

use std::collections::BTreeMap;
use std::process::ExitCode;

#[path = "../tests/support/owner_world/mod.rs"]
mod owner_world;

use owner_world::Plan;
use owner_world::Simulation;

/// histories without a count on the command line.
const DEFAULT_COUNT: u64 = 1000;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1).filter_map(|argument| argument.parse::<u64>().ok());
    let count = arguments.next().unwrap_or(DEFAULT_COUNT);
    let first = arguments.next().unwrap_or(0);
    let times = arguments.next().unwrap_or(1) as u32;
    let mut failed = 0;
    let mut turns = 0;
    let mut calls = 0;
    let mut deposed = 0;
    let mut stopped: BTreeMap<String, u32> = BTreeMap::new();
    for seed in first..first + count {
        let mut plan = Plan::seeded(seed);
        plan.faults.multiply(times);
        plan.turns *= times as usize;
        let mut world = Simulation::new(plan);
        world.trace = count == 1;
        match world.run() {
            Ok(report) => {
                turns += report.turns;
                calls += report.calls_run;
                deposed += report.deposed;
                for (code, count) in report.stopped {
                    *stopped.entry(code).or_default() += count;
                }
            }
            Err(why) => {
                failed += 1;
                println!("seed {seed}: {why}");
            }
        }
    }
    println!("{count} histories from seed {first}: {failed} failed, {turns} turns, {calls} calls run");
    println!("{deposed} owners deposed, programs stopped early: {stopped:?}");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

//! runs in virtual time.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use flamingo_bench::fault::Fault;
use flamingo_bench::outcome::Outcome;
use flamingo_bench::policy::Policy;
use flamingo_bench::run::Run;
use flamingo_bench::run::RunPlan;
use flamingo_bench::workload::Workload;
use test_case::test_case;

fn run(policy: Policy, fault: Option<Fault>) -> Outcome {
    let workload = Workload::read(Path::new("workloads/uisce-dion.json")).unwrap();
    let plan = RunPlan {
        policy,
        seed: 7,
        rate: 0.4,
        arrivals_end_us: 60_000_000,
        end_us: 2_000_000_000,
        only_small: false,
        fault,
    };
    Run::run(&workload, plan)
}

#[test_case(Policy::Ours; "ours")]
#[test_case(Policy::RoundRobin; "round robin")]
#[test_case(Policy::LeastLoaded; "least loaded")]
#[test_case(Policy::PrefixAffinity; "prefix affinity")]
fn all_complete(policy: Policy) {
    let outcome = run(policy, None);
    assert_eq!(outcome.unfinished, 0);
    assert!(outcome.programs.iter().all(|program| program.completed));
}

#[test_case(None; "no fault")]
#[test_case(Some(Fault::ZoneGoes); "zone goes")]
fn same_run_twice(fault: Option<Fault>) {
    let figures = |outcome: &Outcome| -> Vec<(u64, u64)> {
        outcome.programs.iter().map(|program| (program.arrived_us, program.latency_us)).collect()
    };
    assert_eq!(figures(&run(Policy::Ours, fault)), figures(&run(Policy::Ours, fault)));
}

#[test]
fn same_work_for_all() {
    let arrivals = |policy| -> Vec<u64> {
        let mut arrived: Vec<u64> =
            run(policy, None).programs.iter().map(|program| program.arrived_us).collect();
        arrived.sort_unstable();
        arrived
    };
    assert_eq!(arrivals(Policy::Ours), arrivals(Policy::RoundRobin));
}

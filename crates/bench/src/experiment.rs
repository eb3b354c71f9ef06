//! the experiments of the report: capacity, comparison of policies, isolation, faults.

use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use serde::Serialize;
use strum::IntoEnumIterator;

use crate::fault::FAULT_AT_US;
use crate::fault::FAULT_US;
use crate::fault::Fault;
use crate::outcome::Outcome;
use crate::policy::Policy;
use crate::run::Run;
use crate::run::RunPlan;
use crate::summary::Span;
use crate::summary::Summary;
use crate::summary::latency;
use crate::summary::median;
use crate::summary::percentile;
use crate::workload::Workload;

/// arrivals of one run.
const ARRIVALS_END_US: u64 = 480_000_000;

/// programs that arrive before this are not measured.
const WARM_UP_US: u64 = 120_000_000;

/// when a run is cut off.
const END_US: u64 = 1_500_000_000;

/// share of the capacity, in percent.
pub const LOADS_PERCENT: [u32; 4] = [50, 80, 95, 130];

/// load of the runs with faults.
const FAULT_LOAD_PERCENT: u32 = 80;

/// precision of the capacity.
const CAPACITY_STEPS: u32 = 7;

/// width of the buckets in which recovery is looked for.
const BUCKET_US: u64 = 5_000_000;

/// a recovered bucket's first-token time against the one before the fault.
const RECOVERED_FACTOR: f64 = 1.25;

/// one cell of the comparison: a policy at a load, over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// workload.
    pub workload: String,
    /// policy.
    pub policy: String,
    /// load in percent of the capacity.
    pub load_percent: u32,
    /// programs a second.
    pub rate: f64,
    /// one summary a seed.
    pub seeds: Vec<Summary>,
    /// programs of all seeds pooled, by size of the customer.
    pub pooled: Pooled,
}

/// 95th percentiles over the programs of all seeds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Pooled {
    /// all customers.
    pub all_p95_ms: f64,
    /// large customers.
    pub large_p95_ms: f64,
    /// medium customers.
    pub medium_p95_ms: f64,
    /// small customers.
    pub small_p95_ms: f64,
    /// small customers' programs.
    pub small_count: usize,
}

/// one fault under one policy.
#[derive(Clone, Debug, Serialize)]
pub struct FaultCell {
    /// workload.
    pub workload: String,
    /// fault.
    pub fault: String,
    /// policy.
    pub policy: String,
    /// 95th percentile of program latency before, during and after.
    pub program_p95_ms: [f64; 3],
    /// 95th percentile of the time to the first token before, during and after.
    pub first_token_p95_ms: [f64; 3],
    /// wasted cache before, during and after.
    pub wasted_share: [f64; 3],
    /// median over the seeds of the time from the begin of the fault to recovery.
    pub recovery_s: f64,
    /// retries as a share of first attempts.
    pub retry_share: f64,
    /// programs that gave up, over all seeds.
    pub lost: u64,
}

/// everything that was measured of one workload.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// workload.
    pub workload: String,
    /// highest rate that prefix affinity sustains, programs a second.
    pub capacity: f64,
    /// seeds.
    pub seeds: Vec<u64>,
    /// comparison.
    pub cells: Vec<Cell>,
    /// our policy with the small customers alone, at the same loads.
    pub alone: Vec<Cell>,
    /// 95th percentile of what each program would take on an empty engine with a perfect cache.
    pub ideal_p95_ms: f64,
    /// faults.
    pub faults: Vec<FaultCell>,
}

/// runs all experiments of one workload.
pub fn report(workload: &Workload, seeds: &[u64], thread_count: usize, with_faults: bool) -> Report {
    let capacity = find_capacity(workload, seeds, thread_count);
    eprintln!("{}: capacity {capacity:.3} programs a second", workload.name);
    let mut cells = Vec::new();
    let mut alone = Vec::new();
    for load_percent in LOADS_PERCENT {
        let rate = capacity * f64::from(load_percent) / 100.0;
        for policy in Policy::iter() {
            cells.push(cell(workload, policy, load_percent, rate, seeds, thread_count, false));
        }
        alone.push(cell(workload, Policy::Ours, load_percent, rate, seeds, thread_count, true));
    }
    cells.push(cell(workload, Policy::Ours, 100, capacity, seeds, thread_count, false));
    let faults = if with_faults { faults(workload, capacity, seeds, thread_count) } else { Vec::new() };
    Report {
        workload: workload.name.clone(),
        capacity,
        seeds: seeds.to_vec(),
        cells,
        alone,
        ideal_p95_ms: ideal_p95_ms(workload, seeds, capacity),
        faults,
    }
}

/// the highest rate at which the queue under prefix affinity does not grow, by bisection.
fn find_capacity(workload: &Workload, seeds: &[u64], thread_count: usize) -> f64 {
    let mut low = 0.0;
    let mut high = 1.0;
    while sustains(workload, high, seeds, thread_count) {
        low = high;
        high *= 2.0;
    }
    for _ in 0..CAPACITY_STEPS {
        let middle = (low + high) / 2.0;
        if sustains(workload, middle, seeds, thread_count) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// tells whether, for most seeds, no more waits in the last third of the arrivals than in the middle one.
fn sustains(workload: &Workload, rate: f64, seeds: &[u64], thread_count: usize) -> bool {
    let plans: Vec<RunPlan> = seeds.iter().map(|seed| plan(Policy::PrefixAffinity, *seed, rate)).collect();
    let outcomes = run_all(workload, &plans, thread_count);
    let growing = outcomes.iter().filter(|outcome| grows(&outcome.waiting, workload.replica_count)).count();
    growing * 2 < outcomes.len()
}

/// compares the samples of the last third with those of the middle one; a few a replica are noise.
fn grows(waiting: &[u32], replica_count: usize) -> bool {
    let end = waiting.len().min((ARRIVALS_END_US / 1_000_000) as usize);
    let mean =
        |part: &[u32]| part.iter().map(|sample| f64::from(*sample)).sum::<f64>() / part.len().max(1) as f64;
    let middle = mean(&waiting[end / 3..end * 2 / 3]);
    let last = mean(&waiting[end * 2 / 3..end]);
    last > middle * 1.5 + replica_count as f64
}

fn plan(policy: Policy, seed: u64, rate: f64) -> RunPlan {
    RunPlan {
        policy,
        seed,
        rate,
        arrivals_end_us: ARRIVALS_END_US,
        end_us: END_US,
        only_small: false,
        fault: None,
    }
}

fn cell(
    workload: &Workload,
    policy: Policy,
    load_percent: u32,
    rate: f64,
    seeds: &[u64],
    thread_count: usize,
    only_small: bool,
) -> Cell {
    let plans: Vec<RunPlan> =
        seeds.iter().map(|seed| RunPlan { only_small, ..plan(policy, *seed, rate) }).collect();
    let outcomes = run_all(workload, &plans, thread_count);
    let span = Span { from_us: WARM_UP_US, to_us: ARRIVALS_END_US };
    Cell {
        workload: workload.name.clone(),
        policy: policy.to_string(),
        load_percent,
        rate,
        seeds: outcomes.iter().map(|outcome| Summary::new(workload, outcome, span)).collect(),
        pooled: pooled(workload, &outcomes, span),
    }
}

fn pooled(workload: &Workload, outcomes: &[Outcome], span: Span) -> Pooled {
    let all = merged(outcomes);
    let size =
        |wanted: &str| latency(&all, span, |program| workload.workspaces[program.workspace].size == wanted);
    let small = size("small");
    Pooled {
        all_p95_ms: latency(&all, span, |_| true).p95_ms,
        large_p95_ms: size("large").p95_ms,
        medium_p95_ms: size("medium").p95_ms,
        small_p95_ms: small.p95_ms,
        small_count: small.count,
    }
}

fn merged(outcomes: &[Outcome]) -> Outcome {
    let mut all = Outcome::default();
    for outcome in outcomes {
        all.programs.extend_from_slice(&outcome.programs);
        all.turns.extend_from_slice(&outcome.turns);
    }
    all
}

fn faults(workload: &Workload, capacity: f64, seeds: &[u64], thread_count: usize) -> Vec<FaultCell> {
    let rate = capacity * f64::from(FAULT_LOAD_PERCENT) / 100.0;
    let mut cells = Vec::new();
    for fault in Fault::iter() {
        for policy in [Policy::Ours, Policy::LeastLoaded, Policy::PrefixAffinity] {
            let plans: Vec<RunPlan> = seeds
                .iter()
                .map(|seed| RunPlan { fault: Some(fault), ..plan(policy, *seed, rate) })
                .collect();
            let outcomes = run_all(workload, &plans, thread_count);
            cells.push(fault_cell(workload, fault, policy, &outcomes));
        }
    }
    cells
}

fn fault_cell(workload: &Workload, fault: Fault, policy: Policy, outcomes: &[Outcome]) -> FaultCell {
    let all = merged(outcomes);
    let spans = [
        Span { from_us: WARM_UP_US, to_us: FAULT_AT_US },
        Span { from_us: FAULT_AT_US, to_us: FAULT_AT_US + FAULT_US },
        Span { from_us: FAULT_AT_US + FAULT_US, to_us: ARRIVALS_END_US },
    ];
    let mut recoveries: Vec<f64> = outcomes.iter().map(recovery_s).collect();
    let first_attempts: u64 = outcomes.iter().map(|outcome| outcome.first_attempts).sum();
    let retries: u64 = outcomes.iter().map(|outcome| outcome.retries).sum();
    FaultCell {
        workload: workload.name.clone(),
        fault: fault.to_string(),
        policy: policy.to_string(),
        program_p95_ms: spans.map(|span| latency(&all, span, |_| true).p95_ms),
        first_token_p95_ms: spans.map(|span| first_token_p95_ms(&all, span)),
        wasted_share: spans.map(|span| Summary::new(workload, &all, span).wasted_share),
        recovery_s: median(&mut recoveries),
        retry_share: retries as f64 / first_attempts.max(1) as f64,
        lost: outcomes.iter().map(lost).sum(),
    }
}

fn lost(outcome: &Outcome) -> u64 {
    outcome.unfinished + outcome.programs.iter().filter(|program| !program.completed).count() as u64
}

fn first_token_p95_ms(outcome: &Outcome, span: Span) -> f64 {
    let turns = outcome.turns.iter().filter(|turn| span.holds(turn.submitted_us));
    let mut values: Vec<f64> = turns.map(|turn| turn.first_token_us as f64 / 1e3).collect();
    percentile(&mut values, 0.95)
}

/// time from the begin of the fault until first tokens come as before for 15 s on end.
fn recovery_s(outcome: &Outcome) -> f64 {
    let before = first_token_p95_ms(outcome, Span { from_us: WARM_UP_US, to_us: FAULT_AT_US });
    let mut good_buckets = 0;
    let mut from_us = FAULT_AT_US;
    while from_us + BUCKET_US <= ARRIVALS_END_US {
        let bucket = first_token_p95_ms(outcome, Span { from_us, to_us: from_us + BUCKET_US });
        good_buckets = if bucket <= before * RECOVERED_FACTOR { good_buckets + 1 } else { 0 };
        from_us += BUCKET_US;
        if good_buckets == 3 {
            return (from_us - 3 * BUCKET_US - FAULT_AT_US) as f64 / 1e6;
        }
    }
    (ARRIVALS_END_US - FAULT_AT_US) as f64 / 1e6
}

/// the longest path of each program on an empty engine with a perfect cache.
fn ideal_p95_ms(workload: &Workload, seeds: &[u64], rate: f64) -> f64 {
    let mut values = Vec::new();
    for seed in seeds {
        for shape in workload.draw(*seed, rate, ARRIVALS_END_US, false) {
            if shape.arrival_us >= WARM_UP_US {
                values.push(ideal_thread_ms(workload, &shape.root, false));
            }
        }
    }
    percentile(&mut values, 0.95)
}

fn ideal_thread_ms(workload: &Workload, thread: &crate::workload::ThreadShape, with_pauses: bool) -> f64 {
    let engine = &workload.engine;
    let mut total_ms = 0.0;
    for (index, turn) in thread.turns.iter().enumerate() {
        let read_ms = turn.new_tokens as f64 * engine.uncached_token_ms;
        let generate_ms = turn.completion_tokens as f64 * (engine.step_ms + engine.sequence_ms);
        total_ms += read_ms + generate_ms;
        let children = turn.children.iter().map(|child| ideal_thread_ms(workload, child, true));
        total_ms += children.fold(0.0, f64::max);
        if with_pauses && index + 1 < thread.turns.len() {
            total_ms += turn.pause_us as f64 / 1e3;
        }
    }
    total_ms
}

/// runs plans on a few threads; the order of the outcomes is that of the plans.
fn run_all(workload: &Workload, plans: &[RunPlan], thread_count: usize) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<(usize, Outcome)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..thread_count.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(plan) = plans.get(index) else { return };
                    let outcome = Run::run(workload, *plan);
                    done.lock().expect("no run panics while it holds the lock").push((index, outcome));
                }
            });
        }
    });
    let mut outcomes = done.into_inner().expect("no run panics while it holds the lock");
    outcomes.sort_by_key(|(index, _)| *index);
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
}

//! load and experiment tool of flamingostand.

use std::path::Path;

use flamingo_bench::policy::Policy;
use flamingo_bench::run::Run;
use flamingo_bench::run::RunPlan;
use flamingo_bench::summary::Span;
use flamingo_bench::summary::Summary;
use flamingo_bench::workload::Workload;
use strum::IntoEnumIterator;

fn main() -> anyhow::Result<()> {
    for name in ["rokopis", "uisce-dion"] {
        let workload = Workload::read(Path::new(&format!("crates/bench/workloads/{name}.json")))?;
        for rate in std::env::args().skip(1) {
            let rate: f64 = rate.parse()?;
            for policy in Policy::iter() {
                let start = std::time::Instant::now();
                let plan = RunPlan {
                    policy,
                    seed: 1,
                    rate,
                    arrivals_end_us: 480_000_000,
                    end_us: 1_200_000_000,
                    only_small: false,
                    fault: None,
                };
                let outcome = Run::run(&workload, plan);
                let s = Summary::new(&workload, &outcome, Span { from_us: 120_000_000, to_us: 480_000_000 });
                println!(
                    "{name} {rate} {policy:14} n={} all p50 {:.0} p95 {:.0} small p95 {:.0} waste {:.4} good {:.3} lost {} ref {} ttft {:.0} gap {:.1} wait {}  {:.1}s",
                    s.all.count,
                    s.all.p50_ms,
                    s.all.p95_ms,
                    s.small.p95_ms,
                    s.wasted_share,
                    s.goodput,
                    s.lost,
                    s.refusals,
                    s.first_token_p95_ms,
                    s.gap_p95_ms,
                    outcome.waiting.get(460).unwrap_or(&0),
                    start.elapsed().as_secs_f64()
                );
            }
        }
    }
    Ok(())
}

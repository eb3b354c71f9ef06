//! reports as tables in markdown.

use std::fmt::Write;

use crate::experiment::Cell;
use crate::experiment::LOADS_PERCENT;
use crate::experiment::Report;
use crate::summary::Summary;
use crate::summary::percentile;

/// one line of the table of targets.
struct Target {
    name: String,
    wanted: String,
    measured: f64,
    met: bool,
}

/// writes all tables of a report.
pub fn tables(report: &Report) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "### {}\n", report.workload);
    let _ = writeln!(
        text,
        "Capacity: {:.2} programs a second. Lower bound of the 95th percentile (empty engine, perfect cache): {:.1} s.\n",
        report.capacity,
        report.ideal_p95_ms / 1e3
    );
    comparison(&mut text, report);
    isolation(&mut text, report);
    targets(&mut text, report);
    faults(&mut text, report);
    text
}

fn comparison(text: &mut String, report: &Report) {
    let _ = writeln!(
        text,
        "Median over the seeds (least to most); latencies in seconds.\n\n\
         | load | policy | mean | p95 | p99 | p95 large | p95 medium | p95 small | wasted cache | goodput/s | first token p95 | gap p95 ms | refused | lost |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
    );
    for cell in &report.cells {
        let seconds = |pick: &dyn Fn(&Summary) -> f64| spread(cell, &|summary| pick(summary) / 1e3, 1);
        let _ = writeln!(
            text,
            "| {} % | {} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {} | {} | {} | {} | {} | {} |",
            cell.load_percent,
            cell.policy,
            seconds(&|summary| summary.all.mean_ms),
            seconds(&|summary| summary.all.p95_ms),
            seconds(&|summary| summary.all.p99_ms),
            cell.pooled.large_p95_ms / 1e3,
            cell.pooled.medium_p95_ms / 1e3,
            cell.pooled.small_p95_ms / 1e3,
            spread(cell, &|summary| summary.wasted_share, 4),
            spread(cell, &|summary| summary.goodput, 2),
            seconds(&|summary| summary.first_token_p95_ms),
            spread(cell, &|summary| summary.gap_p95_ms, 0),
            cell.seeds.iter().map(|summary| summary.refusals).sum::<u64>(),
            cell.seeds.iter().map(|summary| summary.lost).sum::<u64>(),
        );
    }
    let _ = writeln!(text);
}

fn isolation(text: &mut String, report: &Report) {
    let _ = writeln!(
        text,
        "Small customers' 95th percentile, programs of all seeds pooled; seconds.\n\n\
         | load | programs | alone | beside, ours | ratio | beside, prefix-affinity |\n|---|---|---|---|---|---|"
    );
    for alone in &report.alone {
        let Some(ours) = find(report, "ours", alone.load_percent) else { continue };
        let Some(affinity) = find(report, "prefix-affinity", alone.load_percent) else { continue };
        let _ = writeln!(
            text,
            "| {} % | {} | {:.1} | {:.1} | {:.2} | {:.1} |",
            alone.load_percent,
            alone.pooled.small_count,
            alone.pooled.small_p95_ms / 1e3,
            ours.pooled.small_p95_ms / 1e3,
            ours.pooled.small_p95_ms / alone.pooled.small_p95_ms,
            affinity.pooled.small_p95_ms / 1e3,
        );
    }
    let _ = writeln!(text);
}

fn targets(text: &mut String, report: &Report) {
    let _ = writeln!(text, "| target | wanted | measured | met |\n|---|---|---|---|");
    for target in target_list(report) {
        let met = if target.met { "yes" } else { "**no**" };
        let _ = writeln!(text, "| {} | {} | {:.2} | {met} |", target.name, target.wanted, target.measured);
    }
    let _ = writeln!(text);
}

fn target_list(report: &Report) -> Vec<Target> {
    let mut targets = Vec::new();
    let p95 = |policy: &str, load: u32| middle(report, policy, load, &|summary| summary.all.p95_ms);
    let goodput = |load: u32| middle(report, "ours", load, &|summary| summary.goodput);
    let waste = |policy: &str| middle(report, policy, 95, &|summary| summary.wasted_share);
    for load in LOADS_PERCENT.into_iter().filter(|load| *load <= 95) {
        let alone = report.alone.iter().find(|cell| cell.load_percent == load);
        let Some((alone, ours)) = alone.zip(find(report, "ours", load)) else { continue };
        let measured = ours.pooled.small_p95_ms / alone.pooled.small_p95_ms;
        targets.push(at_most(format!("small customer's p95 beside / alone at {load} %"), 1.1, measured));
    }
    targets.push(at_most(
        "wasted cache / prefix-affinity at 95 %".into(),
        1.15,
        waste("ours") / waste("prefix-affinity"),
    ));
    targets.push(at_most(
        "program p95 / least-loaded at 95 %".into(),
        0.5,
        p95("ours", 95) / p95("least-loaded", 95),
    ));
    targets.push(at_most(
        "program p95 / prefix-affinity at 95 %".into(),
        0.8,
        p95("ours", 95) / p95("prefix-affinity", 95),
    ));
    let measured = goodput(130) / goodput(100);
    targets.push(Target {
        name: "goodput at 130 % / at 100 %".into(),
        wanted: "at least 0.95".into(),
        measured,
        met: measured >= 0.95,
    });
    targets
}

fn at_most(name: String, bound: f64, measured: f64) -> Target {
    Target { name, wanted: format!("at most {bound}"), measured, met: measured <= bound }
}

fn faults(text: &mut String, report: &Report) {
    if report.faults.is_empty() {
        return;
    }
    let _ = writeln!(
        text,
        "Faults at 80 % of capacity: before / during / after; seconds.\n\n\
         | fault | policy | program p95 | first token p95 | wasted cache | recovery after s | retries | lost |\n\
         |---|---|---|---|---|---|---|---|"
    );
    for cell in &report.faults {
        let seconds = |values: [f64; 3]| values.map(|value| format!("{:.1}", value / 1e3)).join(" / ");
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {:.0} | {:.4} | {} |",
            cell.fault,
            cell.policy,
            seconds(cell.program_p95_ms),
            seconds(cell.first_token_p95_ms),
            cell.wasted_share.map(|share| format!("{share:.4}")).join(" / "),
            cell.recovery_s,
            cell.retry_share,
            cell.lost,
        );
    }
    let _ = writeln!(text);
}

fn find<'a>(report: &'a Report, policy: &str, load_percent: u32) -> Option<&'a Cell> {
    report.cells.iter().find(|cell| cell.policy == policy && cell.load_percent == load_percent)
}

fn middle(report: &Report, policy: &str, load_percent: u32, pick: &dyn Fn(&Summary) -> f64) -> f64 {
    find(report, policy, load_percent).map_or(f64::NAN, |cell| {
        let mut values: Vec<f64> = cell.seeds.iter().map(pick).collect();
        percentile(&mut values, 0.5)
    })
}

fn spread(cell: &Cell, pick: &dyn Fn(&Summary) -> f64, digits: usize) -> String {
    let mut values: Vec<f64> = cell.seeds.iter().map(pick).collect();
    let middle = percentile(&mut values, 0.5);
    let least = values.first().copied().unwrap_or_default();
    let most = values.last().copied().unwrap_or_default();
    format!("{middle:.digits$} ({least:.digits$}–{most:.digits$})")
}

//! figures from outcomes.

use serde::Serialize;

use crate::outcome::Outcome;
use crate::outcome::ProgramOutcome;
use crate::workload::Workload;

/// the part of a run that is measured, by arrival.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// from.
    pub from_us: u64,
    /// to.
    pub to_us: u64,
}

impl Span {
    /// tells whether a moment lies inside.
    pub fn holds(&self, at_us: u64) -> bool {
        (self.from_us..self.to_us).contains(&at_us)
    }
}

/// latency of programs.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// programs that were completed.
    pub count: usize,
    /// mean.
    pub mean_ms: f64,
    /// median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// all customers.
    pub all: Latency,
    /// large customers.
    pub large: Latency,
    /// medium customers.
    pub medium: Latency,
    /// small customers.
    pub small: Latency,
    /// prompt tokens computed again, as a share of prompt tokens.
    pub wasted_share: f64,
    /// prompt tokens that had been computed but were not believed to be where the turn went, as a share.
    pub moved_share: f64,
    /// prompt tokens that were believed to be cached but were not, as a share.
    pub mistaken_share: f64,
    /// programs completed a second.
    pub goodput: f64,
    /// programs that gave up or were still under way at the end.
    pub lost: u64,
    /// turns that were refused.
    pub refusals: u64,
    /// retries as a share of first attempts.
    pub retry_share: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: f64,
    /// 95th percentile of a turn's mean time between tokens.
    pub gap_p95_ms: f64,
}

impl Summary {
    /// works the figures out for what arrived inside `span`.
    pub fn new(workload: &Workload, outcome: &Outcome, span: Span) -> Self {
        let size = |wanted: &str| {
            latency(outcome, span, |program| workload.workspaces[program.workspace].size == wanted)
        };
        let turns = || outcome.turns.iter().filter(|turn| span.holds(turn.submitted_us));
        let prompt_tokens: u64 = turns().map(|turn| turn.prompt_tokens).sum();
        let wasted_tokens: u64 =
            turns().map(|turn| turn.reusable_tokens.saturating_sub(turn.cached_tokens)).sum();
        let moved_tokens: u64 =
            turns().map(|turn| turn.reusable_tokens.saturating_sub(turn.believed_tokens)).sum();
        let mistaken_tokens: u64 =
            turns().map(|turn| turn.believed_tokens.saturating_sub(turn.cached_tokens)).sum();
        let completed =
            outcome.programs.iter().filter(|program| program.completed && span.holds(program.ended_us));
        let gave_up = outcome.programs.iter().filter(|program| !program.completed).count() as u64;
        let mut first: Vec<f64> = turns().map(|turn| turn.first_token_us as f64 / 1e3).collect();
        let mut gaps: Vec<f64> = turns()
            .filter(|turn| turn.completion_tokens > 1)
            .map(|turn| turn.generate_us as f64 / 1e3 / (turn.completion_tokens - 1) as f64)
            .collect();
        Self {
            all: latency(outcome, span, |_| true),
            large: size("large"),
            medium: size("medium"),
            small: size("small"),
            wasted_share: wasted_tokens as f64 / prompt_tokens.max(1) as f64,
            moved_share: moved_tokens as f64 / prompt_tokens.max(1) as f64,
            mistaken_share: mistaken_tokens as f64 / prompt_tokens.max(1) as f64,
            goodput: completed.count() as f64 / ((span.to_us - span.from_us) as f64 / 1e6),
            lost: gave_up + outcome.unfinished,
            refusals: outcome.refusals,
            retry_share: outcome.retries as f64 / outcome.first_attempts.max(1) as f64,
            first_token_p95_ms: percentile(&mut first, 0.95),
            gap_p95_ms: percentile(&mut gaps, 0.95),
        }
    }
}

/// latency of the programs that arrived inside `span` and match.
pub fn latency(outcome: &Outcome, span: Span, matches: impl Fn(&ProgramOutcome) -> bool) -> Latency {
    let mut values: Vec<f64> = Vec::new();
    for program in &outcome.programs {
        if program.completed && span.holds(program.arrived_us) && matches(program) {
            values.push(program.latency_us as f64 / 1e3);
        }
    }
    if values.is_empty() {
        return Latency::default();
    }
    let mean_ms = values.iter().sum::<f64>() / values.len() as f64;
    Latency {
        count: values.len(),
        mean_ms,
        p50_ms: percentile(&mut values, 0.5),
        p95_ms: percentile(&mut values, 0.95),
        p99_ms: percentile(&mut values, 0.99),
    }
}

/// the value that a share of the values does not exceed.
pub fn percentile(values: &mut [f64], share: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * share).ceil() as usize;
    values[index.clamp(1, values.len()) - 1]
}

/// the middle value.
pub fn median(values: &mut [f64]) -> f64 {
    percentile(values, 0.5)
}

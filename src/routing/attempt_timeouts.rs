use std::collections::HashMap;

use crate::dispatch::RetryBudget;

/// weights of the newest latency in the averages, as TCP takes them for its retransmission timer.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// deviations above the mean after which an answer counts as lost, as for TCP's retransmission timer.
const DEVIATIONS: f64 = 4.0;
/// answers on a route that must have been seen before any counts as lost.
const MIN_ANSWERS: u32 = 16;
/// part of first attempts that may be given up for another replica, so that a slow service is not asked twice.
const GIVE_UP_PERCENT: u32 = 10;

/// how long answers on each route usually take, and how many attempts may be given up.
#[derive(Debug, Default)]
pub struct AttemptTimeouts {
    routes: HashMap<String, Row>,
}

#[derive(Debug)]
struct Row {
    answers: u32,
    mean_ms: f64,
    deviation_ms: f64,
    budget: RetryBudget,
}

impl AttemptTimeouts {
    /// learns how long an answer took.
    pub fn record_latency(&mut self, route: &str, latency_ms: f64) {
        let Some(row) = self.routes.get_mut(route) else {
            let budget = RetryBudget::new(GIVE_UP_PERCENT);
            let row = Row { answers: 1, mean_ms: latency_ms, deviation_ms: latency_ms / 2.0, budget };
            self.routes.insert(route.to_owned(), row);
            return;
        };
        row.answers = row.answers.saturating_add(1);
        row.deviation_ms += DEVIATION_WEIGHT * ((latency_ms - row.mean_ms).abs() - row.deviation_ms);
        row.mean_ms += MEAN_WEIGHT * (latency_ms - row.mean_ms);
        row.budget.first_attempt();
    }

    /// how long to wait for an answer before another replica is tried; `None` to wait for as long as there is time.
    ///
    /// Never less than `aim_ms`, the time within which the answer is wanted: as long as that has not passed, the first
    /// replica may still make it, and in a burst many answers are slow that are not lost.
    pub fn timeout_ms(&self, route: &str, aim_ms: u64) -> Option<u64> {
        let row =
            self.routes.get(route).filter(|row| row.answers >= MIN_ANSWERS && row.budget.has_retry())?;
        let limit_ms = row.mean_ms + DEVIATIONS * row.deviation_ms;
        Some((limit_ms as u64).max(aim_ms))
    }

    /// an attempt was given up.
    pub fn record_abandoned(&mut self, route: &str) {
        if let Some(row) = self.routes.get_mut(route) {
            row.budget.try_retry();
        }
    }
}

use std::collections::HashMap;

use crate::dispatch::RetryBudget;

/// smoothing factors of the latency estimate, the same as in TCP's retransmission timer (1/8 and 1/4).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// deviations above the mean after which a response counts as lost, as in TCP's retransmission timer.
const DEVIATIONS: f64 = 4.0;
/// responses that a route must have had before an attempt on it may time out.
const MIN_SAMPLES: u32 = 16;
/// percentage of first attempts that may be abandoned for another replica, so that a slow service does not
/// get twice the load.
const RETRY_PERCENT: u32 = 10;

/// adaptive attempt timeouts: a latency estimate and a retry budget for each route.
#[derive(Debug, Default)]
pub struct AttemptTimeouts {
    routes: HashMap<String, RouteLatency>,
}

#[derive(Debug)]
struct RouteLatency {
    samples: u32,
    mean_ms: f64,
    deviation_ms: f64,
    budget: RetryBudget,
}

impl AttemptTimeouts {
    /// adds the latency of a response to the estimate of its route.
    pub fn record_latency(&mut self, route: &str, latency_ms: f64) {
        let Some(latency) = self.routes.get_mut(route) else {
            let budget = RetryBudget::new(RETRY_PERCENT);
            let latency =
                RouteLatency { samples: 1, mean_ms: latency_ms, deviation_ms: latency_ms / 2.0, budget };
            self.routes.insert(route.to_owned(), latency);
            return;
        };
        latency.samples = latency.samples.saturating_add(1);
        latency.deviation_ms +=
            DEVIATION_WEIGHT * ((latency_ms - latency.mean_ms).abs() - latency.deviation_ms);
        latency.mean_ms += MEAN_WEIGHT * (latency_ms - latency.mean_ms);
        latency.budget.first_attempt();
    }

    /// how long to wait for a response before another replica is tried; `None` to wait until the request's
    /// deadline.
    ///
    /// Never less than `target_ms`, the latency objective: until then the first replica may still meet it,
    /// and in a burst many responses are slow but not lost.
    pub fn timeout_ms(&self, route: &str, target_ms: u64) -> Option<u64> {
        let latency = self
            .routes
            .get(route)
            .filter(|latency| latency.samples >= MIN_SAMPLES && latency.budget.has_retry())?;
        let timeout_ms = latency.mean_ms + DEVIATIONS * latency.deviation_ms;
        Some((timeout_ms as u64).max(target_ms))
    }

    /// time within which nearly all responses of a route come; `None` while too few are known.
    pub fn usual_ms(&self, route: &str) -> Option<u64> {
        let latency = self.routes.get(route).filter(|latency| latency.samples >= MIN_SAMPLES)?;
        Some((latency.mean_ms + DEVIATIONS * latency.deviation_ms) as u64)
    }

    /// takes a retry from the budget of a route after an attempt on it timed out.
    pub fn record_abandoned(&mut self, route: &str) {
        if let Some(latency) = self.routes.get_mut(route) {
            latency.budget.try_retry();
        }
    }
}

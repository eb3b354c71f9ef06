use std::time::Duration;

/// multiple of the directory's TTL for which callers may still use an answer.
const STALE_DIRECTORY_FACTOR: u32 = 3;
/// share of the grace period after which connections close with their current request.
const CLOSE_SHARE: f64 = 0.5;
/// share of the grace period before its end at which the process exits even with open connections.
const EXIT_SHARE: f64 = 0.125;
/// the most of that time that an exit takes.
const MAX_EXIT_MARGIN: Duration = Duration::from_millis(700);
/// multiple of the usual time of a request that has to be left for it.
const USUAL_FACTOR: u32 = 2;

/// what a stopping door does when, in time since the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// from then on connections close after their current request: no caller uses an old directory answer.
    pub closes_after: Duration,
    /// then the process exits, whatever runs.
    pub exits_after: Duration,
}

impl StopPlan {
    /// the plan for a grace period, after which the process is killed.
    pub fn new(grace: Duration, directory_ttl: Duration) -> Self {
        let stale = directory_ttl * STALE_DIRECTORY_FACTOR;
        let exit_margin = grace.mul_f64(EXIT_SHARE).min(MAX_EXIT_MARGIN);
        Self { closes_after: stale.min(grace.mul_f64(CLOSE_SHARE)), exits_after: grace - exit_margin }
    }

    /// whether a request that arrives now can be answered before the exit. `left` is the time until its deadline;
    /// `usual` what such requests take, if one that takes longer may run again elsewhere.
    ///
    /// Callers that still hold the address are served in any case.
    pub fn may_take(&self, since_signal: Duration, left: Duration, usual: Option<Duration>) -> bool {
        if since_signal < self.closes_after {
            return true;
        }
        let until_exit = self.exits_after.saturating_sub(since_signal);
        left <= until_exit || usual.is_some_and(|usual| usual * USUAL_FACTOR <= until_exit)
    }
}

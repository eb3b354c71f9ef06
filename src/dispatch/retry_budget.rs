use crate::schema::JobFailed;
use crate::schema::JobFault;

/// cost of one retry in the budget's units; a first attempt earns the share in percent.
const RETRY_UNITS: u64 = 100;

/// retries that may be saved up while nothing fails.
const MAX_SAVED_RETRIES: u64 = 10;

/// most attempts of one turn.
const MAX_ATTEMPTS: u32 = 4;

/// most times a turn is routed again because a dispatcher no longer serves the replica.
const MAX_REROUTES: u32 = 8;

/// what to do with a turn whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPlan {
    /// choose another replica and try again.
    Retry,
    /// report the failure to the caller.
    GiveUp,
}

/// bounds retries to a share of first attempts, so that they cannot amplify an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share_percent: u64,
    saved_units: u64,
}

impl RetryBudget {
    /// a full budget that grows by `share_percent` of a retry with each first attempt.
    pub fn new(share_percent: u32) -> Self {
        Self { share_percent: u64::from(share_percent), saved_units: MAX_SAVED_RETRIES * RETRY_UNITS }
    }

    /// counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.saved_units = (self.saved_units + self.share_percent).min(MAX_SAVED_RETRIES * RETRY_UNITS);
    }

    /// whether there is a retry in the budget.
    pub fn has_retry(&self) -> bool {
        self.saved_units >= RETRY_UNITS
    }

    /// takes one retry out of the budget, when there is one.
    pub fn try_retry(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.saved_units -= RETRY_UNITS;
        true
    }

    /// decides about attempt number `attempt`, counted from one, which failed.
    ///
    /// A refusal by an instance that does not serve the replica cost no engine anything and is
    /// routed again outside the budget. Overload and lateness are never retried: the refusal is
    /// final and says when to come back.
    pub fn plan(&mut self, failed: &JobFailed, attempt: u32) -> RetryPlan {
        let allowed = match failed.fault {
            JobFault::Refused | JobFault::Leaving => attempt < MAX_REROUTES,
            JobFault::NotSent | JobFault::Broken | JobFault::Died => {
                attempt < MAX_ATTEMPTS && self.try_retry()
            }
            JobFault::Poison | JobFault::Cancelled | JobFault::Overloaded | JobFault::TooLate => false,
        };
        if allowed { RetryPlan::Retry } else { RetryPlan::GiveUp }
    }
}

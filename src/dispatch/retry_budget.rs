use crate::schema::JobFailed;
use crate::schema::JobFault;

/// units that one retry costs; a first attempt earns `share_percent` units.
const RETRY_UNITS: u64 = 100;

/// most retries that the budget can hold.
const MAX_SAVED_RETRIES: u64 = 10;

/// most attempts of one turn, the first included.
const MAX_ATTEMPTS: u32 = 4;

/// attempts up to which a turn is routed again because the dispatcher no longer serves the replica or the
/// replica is leaving.
const MAX_REROUTES: u32 = 8;

/// what to do with a turn whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPlan {
    /// choose another replica and try again.
    Retry,
    /// return the failure to the caller.
    GiveUp,
}

/// limits retries to a share of first attempts, so that they cannot amplify an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share_percent: u64,
    saved_units: u64,
}

impl RetryBudget {
    /// a full budget; each first attempt adds `share_percent` of a retry.
    pub fn new(share_percent: u32) -> Self {
        Self { share_percent: u64::from(share_percent), saved_units: MAX_SAVED_RETRIES * RETRY_UNITS }
    }

    /// adds the share that a first attempt earns.
    pub fn first_attempt(&mut self) {
        self.saved_units = (self.saved_units + self.share_percent).min(MAX_SAVED_RETRIES * RETRY_UNITS);
    }

    /// whether the budget covers one retry.
    pub fn has_retry(&self) -> bool {
        self.saved_units >= RETRY_UNITS
    }

    /// takes one retry from the budget; false if it is exhausted.
    pub fn try_retry(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.saved_units -= RETRY_UNITS;
        true
    }

    /// decides whether to retry after attempt number `attempt`, counted from one, failed.
    ///
    /// A refusal because the instance does not serve the replica, or the replica is leaving, cost no engine
    /// any work and is routed again outside the budget. Overload and missed deadlines are never retried: the
    /// refusal is final and carries a time to retry after.
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

//! the retry budget.

use flamingostand::dispatch::RetryBudget;
use flamingostand::dispatch::RetryPlan;
use flamingostand::schema::JobFailed;
use flamingostand::schema::JobFault;
use proptest::prelude::*;
use test_case::test_case;

fn failed(fault: JobFault) -> JobFailed {
    JobFailed { fault, detail: String::new(), spent_tokens: 0, retry_after_ms: None }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn share_is_kept(share_percent in 0..50u32, failures in prop::collection::vec(0..4u32, 1..2_000)) {
        let mut budget = RetryBudget::new(share_percent);
        let mut retries = 0u64;
        for (turn, count) in failures.iter().enumerate() {
            budget.first_attempt();
            for attempt in 1..=*count {
                if budget.plan(&failed(JobFault::Died), attempt) == RetryPlan::GiveUp {
                    break;
                }
                retries += 1;
            }
            let first_attempts = turn as u64 + 1;
            prop_assert!(retries <= 10 + first_attempts * u64::from(share_percent) / 100);
        }
    }
}

#[test_case(JobFault::Overloaded; "overloaded")]
#[test_case(JobFault::TooLate; "too late")]
#[test_case(JobFault::Poison; "poison")]
#[test_case(JobFault::Cancelled; "cancelled")]
fn never_retried(fault: JobFault) {
    assert_eq!(RetryBudget::new(100).plan(&failed(fault), 1), RetryPlan::GiveUp);
}

#[test]
fn refusal_costs_nothing() {
    let mut budget = RetryBudget::new(0);
    while budget.try_retry() {}
    assert_eq!(budget.plan(&failed(JobFault::Refused), 1), RetryPlan::Retry);
    assert_eq!(budget.plan(&failed(JobFault::Died), 1), RetryPlan::GiveUp);
    assert_eq!(budget.plan(&failed(JobFault::Refused), 8), RetryPlan::GiveUp);
}

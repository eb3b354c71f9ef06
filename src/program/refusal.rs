use crate::schema::Problem;
use crate::schema::Ran;

/// retry delay after a request that did not run.
pub(super) const RETRY_SOON_MS: u64 = 100;

/// retry delay while the platform is not available.
pub(super) const RETRY_OUTAGE_MS: u64 = 1000;

/// problem for a request that did not run; without a retry delay.
pub fn refuse(status: u16, code: &str, detail: impl Into<String>) -> Problem {
    Problem {
        status,
        code: code.to_owned(),
        ran: Ran::NotRun,
        detail: detail.into(),
        retry_after_ms: None,
        place: None,
        known: None,
    }
}

/// problem for a request that did not run and may be retried after a delay.
pub(super) fn refuse_retryable(
    status: u16,
    code: &str,
    detail: impl Into<String>,
    retry_after_ms: u64,
) -> Problem {
    Problem { retry_after_ms: Some(retry_after_ms), ..refuse(status, code, detail) }
}

/// problem for a request that may have run; the same request gets its outcome later.
pub(super) fn unknown_retryable(
    status: u16,
    code: &str,
    detail: impl Into<String>,
    retry_after_ms: u64,
) -> Problem {
    Problem { ran: Ran::Unknown, ..refuse_retryable(status, code, detail, retry_after_ms) }
}

use crate::schema::Problem;
use crate::schema::Ran;

/// wait before a request that ran nothing is sent again.
pub(super) const RETRY_SOON_MS: u64 = 100;

/// wait before a request is sent again while the platform does not answer.
pub(super) const RETRY_OUTAGE_MS: u64 = 1000;

/// a refusal of a request that did not run.
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

/// a refusal of a request that did not run, with when to come back.
pub(super) fn refuse_for(status: u16, code: &str, detail: impl Into<String>, retry_after_ms: u64) -> Problem {
    Problem { retry_after_ms: Some(retry_after_ms), ..refuse(status, code, detail) }
}

/// an answer that is not known yet; the same request finds it later.
pub(super) fn unknown_for(
    status: u16,
    code: &str,
    detail: impl Into<String>,
    retry_after_ms: u64,
) -> Problem {
    Problem { ran: Ran::Unknown, ..refuse_for(status, code, detail, retry_after_ms) }
}

use crate::release::ReleaseAnswer;
use crate::release::ReleaseLog;
use crate::release::diff;
use crate::release::evaluate;
use crate::schema::AdminProblem;
use crate::schema::Ran;
use crate::schema::ReleaseAccepted;
use crate::schema::ReleaseCheck;
use crate::schema::ReleaseDiff;
use crate::schema::ReleaseNote;

/// HTTP status of a note that conflicts with later releases.
const CONFLICT: u16 = 409;

/// HTTP status of a faulty note.
const UNPROCESSABLE: u16 = 422;

/// HTTP status while the platform does not answer.
const UNAVAILABLE: u16 = 503;

/// answers `release check`: what would become of a note now.
pub fn check_row(note: &ReleaseNote, log: &ReleaseLog) -> ReleaseCheck {
    let version = log.version();
    match evaluate(note, log) {
        Ok(()) => ReleaseCheck { version, conflict: false, findings: Vec::new() },
        Err(refusal) => {
            ReleaseCheck { version, conflict: refusal.conflict, findings: refusal.findings.rows() }
        }
    }
}

/// answers `release diff`: what a note would change now.
pub fn diff_row(note: &ReleaseNote, log: &ReleaseLog) -> ReleaseDiff {
    ReleaseDiff { version: log.version(), changes: diff(note, log.configuration()) }
}

impl ReleaseAnswer {
    /// the answer as it goes over the wire; a refusal comes with its HTTP status.
    pub fn into_wire(self) -> Result<ReleaseAccepted, (u16, AdminProblem)> {
        match self {
            Self::Accepted { version, repeated } => Ok(ReleaseAccepted { version, repeated }),
            Self::Refused { findings, version, conflict } => {
                let (status, code, what) = if conflict {
                    (CONFLICT, "release_conflict", "conflicts with releases accepted since it was written")
                } else {
                    (UNPROCESSABLE, "release_faulty", "is faulty")
                };
                let problem = AdminProblem {
                    code: code.to_owned(),
                    ran: Ran::NotRun,
                    detail: format!("the note {what}; it was checked against version {version}"),
                    retry_after_ms: None,
                    findings: findings.rows(),
                };
                Err((status, problem))
            }
            Self::Unavailable { unknown, retry_after_ms } => {
                let (ran, detail) = if unknown {
                    (Ran::Unknown, "the note may have been accepted; accept the same note again to find out")
                } else {
                    (Ran::NotRun, "the platform does not answer; the note was not accepted")
                };
                let problem = AdminProblem {
                    code: "release_unavailable".to_owned(),
                    ran,
                    detail: detail.to_owned(),
                    retry_after_ms: Some(retry_after_ms),
                    findings: Vec::new(),
                };
                Err((UNAVAILABLE, problem))
            }
        }
    }
}

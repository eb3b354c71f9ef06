use std::sync::Arc;

use flamingo_edge::json;
use http_types::Response;
use http_types::StatusCode;

use crate::entry::problem_response;
use crate::finding::Findings;
use crate::instance::Shared;
use crate::program::refuse;
use crate::release;
use crate::schema::AdminProblem;
use crate::schema::InstanceVersion;
use crate::schema::Problem;
use crate::schema::Ran;
use crate::schema::ReleaseDiff;
use crate::schema::ReleaseNote;
use crate::schema::ReleaseStatus;
use crate::schema::check_text;

/// when to come back while the releases are busy.
const BUSY_RETRY_AFTER_MS: u64 = 1_000;

/// reads a release note; all faults of its shape are reported together.
pub(crate) fn read_note(body: &[u8]) -> Result<ReleaseNote, Response> {
    let text = String::from_utf8_lossy(body);
    check_text("ReleaseNote", &text).map_err(|findings: Findings| {
        let problem = AdminProblem {
            code: "invalid_note".to_owned(),
            ran: Ran::NotRun,
            detail: "the note does not have the shape of a release note".to_owned(),
            retry_after_ms: None,
            findings: findings.rows(),
        };
        admin_problem(400, &problem)
    })
}

/// checks a note against the configuration in force and what was accepted since it was written.
pub(crate) async fn check(shared: &Shared, note: ReleaseNote) -> Response {
    match shared.check_note(note).await {
        Some(check) => json(StatusCode::Ok, &check),
        None => {
            let problem = refuse(503, "release_unavailable", "the releases do not answer in time");
            problem_response(&Problem { retry_after_ms: Some(BUSY_RETRY_AFTER_MS), ..problem })
        }
    }
}

/// shows what a note would change.
pub(crate) fn diff(shared: &Shared, note: &ReleaseNote) -> Response {
    let configuration = shared.configuration.load();
    let changes = release::diff(note, &configuration);
    json(StatusCode::Ok, &ReleaseDiff { version: configuration.version, changes })
}

/// puts a note in force.
pub(crate) async fn accept(shared: &Arc<Shared>, note: ReleaseNote, operator: &str) -> Response {
    match shared.accept_release(note, operator).await.into_wire() {
        Ok(accepted) => json(StatusCode::Ok, &accepted),
        Err((status, problem)) => admin_problem(status, &problem),
    }
}

/// shows the latest releases, newest first.
pub(crate) async fn history(shared: &Shared, limit: usize) -> Response {
    json(StatusCode::Ok, &shared.release_history(limit).await)
}

/// shows on which instances the newest version is in force.
pub(crate) async fn status(shared: &Arc<Shared>) -> Response {
    let statuses = shared.all_statuses().await;
    let mut instances = Vec::with_capacity(statuses.len());
    for status in statuses.values() {
        instances.push(InstanceVersion { name: status.name.clone(), version: status.release_version });
    }
    // A member that does not answer counts, with the version it last gossiped.
    for member in &shared.view.load().members {
        if statuses.contains_key(&member.name) || member.is_gone() {
            continue;
        }
        instances.push(InstanceVersion { name: member.name.clone(), version: member.release_version });
    }
    let version = shared.configuration.load().version;
    json(StatusCode::Ok, &ReleaseStatus { version, instances })
}

fn admin_problem(status: u16, problem: &AdminProblem) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::BadRequest);
    let mut response = json(status, problem);
    response.insert_header("content-type", "application/problem+json");
    if let Some(retry_after_ms) = problem.retry_after_ms {
        response.insert_header("retry-after", retry_after_ms.div_ceil(1_000).to_string());
    }
    response
}

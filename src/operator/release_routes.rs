use std::sync::Arc;

use flamingo_edge::json;
use http_types::Response;
use http_types::StatusCode;

use crate::entry::problem_response;
use crate::finding::Findings;
use crate::instance::Shared;
use crate::release;
use crate::release::ReleaseAnswer;
use crate::schema::Problem;
use crate::schema::Ran;
use crate::schema::ReleaseNote;
use crate::schema::check_text;

/// reads a release note; all faults of its shape are reported together.
pub(crate) fn read_note(body: &[u8]) -> Result<ReleaseNote, Response> {
    let text = String::from_utf8_lossy(body);
    check_text("ReleaseNote", &text).map_err(|findings| findings_response(&findings, 400, "invalid_note"))
}

/// checks a note against the configuration in force.
pub(crate) fn check(shared: &Shared, note: &ReleaseNote) -> Response {
    let configuration = shared.configuration.load();
    let findings = release::check_note(note, &configuration);
    if findings.list.is_empty() {
        return json(
            StatusCode::Ok,
            &serde_json::json!({ "version": configuration.version, "findings": [] }),
        );
    }
    findings_response(&findings, 422, "note_refused")
}

/// shows what a note would change.
pub(crate) fn diff(shared: &Shared, note: &ReleaseNote) -> Response {
    let configuration = shared.configuration.load();
    let lines = release::diff(note, &configuration);
    json(StatusCode::Ok, &serde_json::json!({ "version": configuration.version, "changes": lines }))
}

/// puts a note in force.
pub(crate) async fn accept(shared: &Arc<Shared>, note: ReleaseNote, operator: &str) -> Response {
    match shared.accept_release(note, operator).await {
        ReleaseAnswer::Accepted { version, repeated } => {
            json(StatusCode::Ok, &serde_json::json!({ "version": version, "repeated": repeated }))
        }
        ReleaseAnswer::Refused { findings, conflict: true, .. } => {
            findings_response(&findings, 409, "release_conflict")
        }
        ReleaseAnswer::Refused { findings, .. } => findings_response(&findings, 422, "note_refused"),
        ReleaseAnswer::Unavailable { unknown, retry_after_ms } => problem_response(&Problem {
            status: 503,
            code: "platform_unavailable".to_owned(),
            ran: if unknown { Ran::Unknown } else { Ran::NotRun },
            detail: "the platform does not answer; accepting the same note again is harmless".to_owned(),
            retry_after_ms: Some(retry_after_ms),
            place: None,
            known: None,
        }),
    }
}

/// shows on which instances the newest version is in force.
pub(crate) async fn status(shared: &Arc<Shared>) -> Response {
    let statuses = shared.all_statuses().await;
    let mut instances = Vec::with_capacity(statuses.len());
    for status in statuses.values() {
        instances.push(serde_json::json!({ "name": status.name, "version": status.release_version }));
    }
    // A member that does not answer counts, with the version it last gossiped.
    for member in &shared.view.load().members {
        if statuses.contains_key(&member.name) || member.is_gone() {
            continue;
        }
        instances.push(
            serde_json::json!({ "name": member.name, "version": member.release_version, "silent": true }),
        );
    }
    let version = shared.configuration.load().version;
    json(StatusCode::Ok, &serde_json::json!({ "version": version, "instances": instances }))
}

fn findings_response(findings: &Findings, status: u16, code: &str) -> Response {
    let value = serde_json::json!({
        "status": status,
        "code": code,
        "ran": "not_run",
        "detail": findings.to_string(),
        "findings": findings.list,
    });
    let mut response = json(StatusCode::try_from(status).unwrap_or(StatusCode::BadRequest), &value);
    response.insert_header("content-type", "application/problem+json");
    response
}

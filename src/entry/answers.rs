use flamingo_edge::ReadError;
use flamingo_edge::json;
use http_types::Response;
use http_types::StatusCode;

use crate::finding::Findings;
use crate::program::refuse;
use crate::schema::OwnerEvent;
use crate::schema::Problem;

/// builds the response for a problem, with its media type and when to come back.
pub fn problem_response(problem: &Problem) -> Response {
    let status = StatusCode::try_from(problem.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = json(status, problem);
    response.insert_header("content-type", "application/problem+json");
    if let Some(retry_after_ms) = problem.retry_after_ms {
        response.insert_header("retry-after", retry_after_ms.div_ceil(1_000).to_string());
    }
    response
}

/// builds the response for the last event of an answer.
pub fn event_response(event: &OwnerEvent) -> Response {
    match event {
        OwnerEvent::Opened(opened) => json(StatusCode::Ok, opened),
        OwnerEvent::Turned(answer) => json(StatusCode::Ok, answer),
        OwnerEvent::Called(answer) => json(StatusCode::Ok, answer),
        OwnerEvent::Ended(state) | OwnerEvent::State(state) => json(StatusCode::Ok, state),
        OwnerEvent::Problem(problem) => problem_response(problem),
        OwnerEvent::Token(token) => json(StatusCode::Ok, token),
    }
}

/// a refusal of a body that could not be read.
pub(crate) fn unreadable(error: ReadError) -> Problem {
    match error {
        ReadError::TooLarge => refuse(413, "body_too_large", error.to_string()),
        ReadError::TooSlow => refuse(408, "body_too_slow", error.to_string()),
        ReadError::Broken => refuse(400, "body_broken", error.to_string()),
    }
}

/// a refusal of a body that does not match its schema; lists every fault with its place.
pub(crate) fn faulty_body(findings: &Findings) -> Response {
    let first = findings.list.first();
    let mut problem = refuse(400, "invalid_body", findings.to_string());
    problem.place = first.map(|finding| finding.place.clone());
    let mut value = serde_json::to_value(&problem).unwrap_or_default();
    value["findings"] = serde_json::to_value(&findings.list).unwrap_or_default();
    let mut response = json(StatusCode::BadRequest, &value);
    response.insert_header("content-type", "application/problem+json");
    response
}

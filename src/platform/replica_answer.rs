//! the headers of replicas' answers.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_ENCODING;
use hyper::header::CONTENT_LENGTH;
use hyper::header::RETRY_AFTER;

use crate::platform::caller_request::text;
use crate::platform::caller_request::without_connection_headers;

const REQUEST_ID: &str = "x-request-id";
/// says that the replica has not run the request; no other header or status does.
const NOT_EXECUTED: &str = "x-not-executed";
/// proves that the answer is the replica's; without it a success does not count.
const RESPONSE_SIGNATURE: &str = "x-response-signature";
/// `1` in the answers of a replica that leaves.
const SERVER_LEAVING: &str = "server-leaving";
/// id of the replica that answers, in answers to requests that expected another one.
const INSTANCE_ID: &str = "x-instance-id";
const KEEP_ALIVE: &str = "keep-alive";

/// what the head of a replica's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerClass {
    /// the answer of the request, to be handed on whatever its status.
    Usable,
    /// the request has not run there and never will.
    NotRun,
    /// another replica has the address now; the request has not run.
    OtherReplica,
    /// the answer belongs to another request, or cannot be trusted.
    Foreign,
}

/// judges the head of an answer to the request `id`.
pub fn classify_answer(status: StatusCode, headers: &HeaderMap, id: Option<&str>) -> AnswerClass {
    let echoed = text(headers, REQUEST_ID);
    if echoed.is_some() && echoed.as_deref() != id {
        return AnswerClass::Foreign;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return AnswerClass::OtherReplica;
    }
    if headers.contains_key(NOT_EXECUTED) {
        return AnswerClass::NotRun;
    }
    let trusted = headers.contains_key(RESPONSE_SIGNATURE) && !headers.contains_key(CONTENT_ENCODING);
    if status.is_success() && !(trusted && echoed.is_some()) {
        return AnswerClass::Foreign;
    }
    AnswerClass::Usable
}

/// whether the replica that answers says that it leaves. Only the value `1` does, alone or in a list; an empty value,
/// `0` and anything else say nothing.
pub fn is_leaving(headers: &HeaderMap) -> bool {
    let values = headers.get_all(SERVER_LEAVING).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|value| value.trim() == "1")
}

/// the replica that answered, if it is another one than was meant.
pub fn answering_replica(headers: &HeaderMap) -> Option<String> {
    text(headers, INSTANCE_ID)
}

/// how long a replica keeps an idle connection; zero if it closes it after this answer.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let options = text(headers, CONNECTION.as_str()).unwrap_or_default();
    if options.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")) {
        return Some(Duration::ZERO);
    }
    let parameters = text(headers, KEEP_ALIVE)?;
    let seconds = parameters.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// the headers of an answer for the caller. The body's length is set by what sends it.
pub fn caller_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = without_connection_headers(headers);
    kept.remove(CONTENT_LENGTH);
    // When to come back is the system's to say; a replica knows only itself.
    kept.remove(RETRY_AFTER);
    kept
}

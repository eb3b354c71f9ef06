//! headers of replicas' answers.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_ENCODING;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::RETRY_AFTER;

use crate::platform::caller_request::header_text;
use crate::platform::caller_request::without_hop_by_hop;
use crate::routing::RateNotice;

const REQUEST_ID: &str = "x-request-id";
/// set if the replica has not executed the request; but for status 421, no other header or status says so.
const NOT_EXECUTED: &str = "x-not-executed";
/// signature that marks the answer as the replica's own; a success without one is rejected. Only its presence
/// is checked.
const RESPONSE_SIGNATURE: &str = "x-response-signature";
/// `1` in the answers of a replica that is shutting down.
const SERVER_LEAVING: &str = "server-leaving";
/// decimal number: requests a second that the answering replica takes from all doors together. It holds for as
/// long as answers carry it.
const SERVER_LIMIT: &str = "server-limit";
/// id of the answering replica, in answers to health checks and to requests meant for another one.
const INSTANCE_ID: &str = "x-instance-id";
const KEEP_ALIVE: &str = "keep-alive";

/// class of a replica's answer, by its status and headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerClass {
    /// the answer to the request, relayed whatever its status.
    Usable,
    /// the replica has not executed the request and will not.
    NotRun,
    /// the address now belongs to another replica, which has not executed the request.
    OtherReplica,
    /// the answer is to another request, or cannot be trusted.
    Foreign,
}

/// classifies an answer to the request `id`.
///
/// A replica may write an earlier answer once more. One without an id belongs to this request for certain only
/// if it `is_first` on its connection.
pub fn classify_answer(
    status: StatusCode,
    headers: &HeaderMap,
    id: Option<&str>,
    is_first: bool,
) -> AnswerClass {
    let echoed = header_text(headers, REQUEST_ID);
    let is_own = match &echoed {
        Some(echoed) => Some(echoed.as_str()) == id,
        None => is_first,
    };
    if !is_own {
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

/// whether an answer is a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = header_text(headers, CONTENT_TYPE.as_str()).unwrap_or_default();
    let kind = kind.split(';').next().unwrap_or_default().trim();
    kind.eq_ignore_ascii_case("text/event-stream")
}

/// whether the answering replica is shutting down. Only the value `1` says so, alone or in a list; an empty
/// one, `0` and any other do not.
pub fn is_leaving(headers: &HeaderMap) -> bool {
    let values = headers.get_all(SERVER_LEAVING).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|value| value.trim() == "1")
}

/// the rate limit that an answer names; the lowest of several. Negative and infinite numbers are none.
pub fn rate_notice(headers: &HeaderMap) -> RateNotice {
    let mut notice = RateNotice::Unlimited;
    for value in headers.get_all(SERVER_LIMIT) {
        let text = value.to_str().unwrap_or_default().trim();
        let limit_per_s = text.parse().ok().filter(|limit: &f64| limit.is_finite() && *limit >= 0.0);
        notice = match (notice, limit_per_s) {
            (RateNotice::Limited(lowest), Some(limit_per_s)) => RateNotice::Limited(limit_per_s.min(lowest)),
            (_, Some(limit_per_s)) => RateNotice::Limited(limit_per_s),
            (RateNotice::Limited(lowest), None) => RateNotice::Limited(lowest),
            (_, None) => RateNotice::Unreadable,
        };
    }
    notice
}

/// id of the replica that answered a health check or a request meant for another one.
pub fn answering_replica(headers: &HeaderMap) -> Option<String> {
    header_text(headers, INSTANCE_ID)
}

/// how long the replica keeps the connection open when idle; zero if it closes it after this answer.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let options = header_text(headers, CONNECTION.as_str()).unwrap_or_default();
    if options.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")) {
        return Some(Duration::ZERO);
    }
    let parameters = header_text(headers, KEEP_ALIVE)?;
    let seconds = parameters.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// headers of a relayed answer. The content length is left to whatever sends the body.
pub fn caller_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = without_hop_by_hop(headers);
    kept.remove(CONTENT_LENGTH);
    // A replica knows only its own load, so only the door's own refusals set Retry-After.
    kept.remove(RETRY_AFTER);
    kept
}

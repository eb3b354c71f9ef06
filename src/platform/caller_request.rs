//! the headers of requests, as callers send them and as replicas want them.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::PROXY_AUTHENTICATE;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

const REQUEST_ID: &str = "x-request-id";
const DEADLINE_MS: &str = "x-deadline-ms";
const EXPECT_INSTANCE: &str = "x-expect-instance";
const AFFINITY_KEY: &str = "x-affinity-key";
const PROGRAM_ID: &str = "x-program-id";
const SESSION_ID: &str = "x-session-id";
const PROGRAM_DEADLINE_MS: &str = "x-program-deadline-ms";
const TOKEN_BUDGET: &str = "x-token-budget";
const TOKEN_COUNT: &str = "x-token-count";
const PREVIOUS_TURN: &str = "x-previous-turn";
const LAST_EVENT_ID: &str = "last-event-id";

/// headers that only the system may set towards replicas; what a caller sends under these names is dropped.
const RESERVED: [&str; 8] = [
    EXPECT_INSTANCE,
    "x-expect-version",
    "x-hold",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "x-not-executed",
];

/// headers that concern one connection only.
const PER_CONNECTION: [HeaderName; 7] =
    [CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// what a caller's headers say of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// id of this attempt of the caller.
    pub id: Option<String>,
    /// how long the caller waits, in milliseconds from its sending.
    pub timeout_ms: Option<u64>,
    /// object that the request concerns; replicas that handled it work faster.
    pub affinity_key: Option<String>,
    /// program that the request belongs to.
    pub program: Option<String>,
    /// line of turns within the program.
    pub session: Option<String>,
    /// time until the program should be finished.
    pub program_timeout_ms: Option<u64>,
    /// tokens that all turns of the program together may generate.
    pub budget_tokens: Option<u64>,
    /// tokens of the prompt.
    pub prompt_tokens: Option<u64>,
    /// the most tokens that this turn generates.
    pub max_output_tokens: Option<u64>,
    /// turn that this one goes on from.
    pub previous_turn: Option<String>,
    /// last event that the caller has of a stream that it resumes.
    pub last_event_id: Option<String>,
}

impl CallerRequest {
    /// reads the headers of a request; a number that makes no sense counts as absent.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let counts = text(headers, TOKEN_COUNT).unwrap_or_default();
        let mut counts = counts.split(',').map(|count| count.trim().parse().ok());
        Self {
            id: text(headers, REQUEST_ID),
            timeout_ms: number(headers, DEADLINE_MS),
            affinity_key: text(headers, AFFINITY_KEY),
            program: text(headers, PROGRAM_ID),
            session: text(headers, SESSION_ID),
            program_timeout_ms: number(headers, PROGRAM_DEADLINE_MS),
            budget_tokens: number(headers, TOKEN_BUDGET),
            prompt_tokens: counts.next().flatten(),
            max_output_tokens: counts.next().flatten(),
            previous_turn: text(headers, PREVIOUS_TURN),
            last_event_id: text(headers, LAST_EVENT_ID),
        }
    }
}

/// what the system tells a replica beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct ForwardOptions<'a> {
    /// id of the replica that is meant; any other refuses.
    pub replica: &'a str,
    /// how long the replica may work.
    pub timeout: Duration,
    /// last event that has reached the caller, when the system resumes a stream.
    pub last_event_id: Option<&'a str>,
}

/// the headers of a request to a replica. The body's length is set by what sends it.
pub fn replica_headers(caller: &HeaderMap, order: &ForwardOptions<'_>) -> HeaderMap {
    let mut headers = without_connection_headers(caller);
    for name in RESERVED {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers.insert(DEADLINE_MS, HeaderValue::from(order.timeout.as_millis() as u64));
    if let Ok(replica) = HeaderValue::from_str(order.replica) {
        headers.insert(EXPECT_INSTANCE, replica);
    }
    if let Some(Ok(event)) = order.last_event_id.map(HeaderValue::from_str) {
        headers.insert(LAST_EVENT_ID, event);
    }
    headers
}

/// headers without those that concern one connection only.
pub(super) fn without_connection_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    // A connection header names further headers that concern this connection.
    for value in headers.get_all(CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            kept.remove(name.trim());
        }
    }
    for name in PER_CONNECTION {
        kept.remove(name);
    }
    kept.remove(KEEP_ALIVE);
    kept.remove(PROXY_CONNECTION);
    kept
}

pub(super) fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

use std::sync::Arc;
use std::time::Duration;

use flamingo_edge::timeout;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::door::connections::Connection;
use crate::door::connections::SendError;
use crate::door::door::Door;
use crate::door::door::LeavingSource;
use crate::door::lease::Lease;
use crate::door::process_start::ProcessStart;
use crate::door::process_start::check_start;
use crate::door::request::DoorRequest;
use crate::platform::AnswerClass;
use crate::platform::ForwardOptions;
use crate::platform::answering_replica;
use crate::platform::classify_answer;
use crate::platform::is_leaving;
use crate::platform::keep_alive_timeout;
use crate::platform::rate_notice;
use crate::platform::replica_headers;
use crate::routing::Outcome;
use crate::routing::RateNotice;
use crate::schema::LeavingReplica;

/// result of one attempt at one replica, up to the response head.
pub(super) enum AttemptResult {
    /// the response head has arrived; the body follows.
    Head(Box<PendingAnswer>),
    /// the replica has not run the request and never will.
    NotRun(NotRun),
    /// the replica may or may not have run the request.
    Indeterminate(Indeterminate),
}

/// why an attempt certainly did not run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum NotRun {
    /// the replica reported it: it is full, or the deadline passed in its queue.
    Shed,
    /// the address now belongs to another replica.
    OtherReplica,
    /// another process than the listed one answers under the replica's id.
    OtherProcess,
    /// no connection could be established.
    Unreachable,
    /// the deadline passed before any byte was sent, as after a suspension of this process.
    Expired,
}

/// why it is unknown whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Indeterminate {
    /// the connection broke, or the response violated the protocol.
    Broken,
    /// the answer belongs to another request or is not signed.
    Foreign,
    /// the answer exceeds the size limits.
    TooLarge,
    /// the answer takes far longer than usual, with time left for another replica.
    Slow,
    /// the door was found to be cut off from the replicas, with time left for another door.
    CutOff,
    /// the deadline of the request passed.
    TimedOut,
}

/// an answer whose head has been read.
pub(super) struct PendingAnswer {
    pub response: Response<Incoming>,
    pub connection: Connection,
    pub lease: Lease,
    /// how long the replica keeps the idle connection open; `None` if it does not say.
    pub idle_timeout: Option<Duration>,
}

/// sends a request to the replica of a lease and waits for the response head, at most `attempt_timeout`.
pub(super) async fn attempt(
    door: &Arc<Door>,
    request: &DoorRequest,
    lease: Lease,
    last_event: Option<&str>,
    attempt_timeout: Option<Duration>,
) -> AttemptResult {
    let remaining = request.remaining();
    let mut lease = lease;
    let limit = attempt_timeout.map_or(remaining, |attempt_timeout| attempt_timeout.min(remaining));
    match timeout(limit, send(door, request, &lease, last_event)).await {
        None if limit < remaining => AttemptResult::Indeterminate(Indeterminate::Slow),
        None => AttemptResult::Indeterminate(Indeterminate::TimedOut),
        Some(Err(result)) => {
            record_outcome(door, &lease, &result);
            match result {
                AttemptResult::Indeterminate(Indeterminate::Broken) => {
                    lease.probe_after_break().await;
                }
                _ => lease.mark_resolved(),
            }
            result
        }
        Some(Ok((connection, response))) => {
            door.reach.reach().record_sign(door.now_ms());
            let id = request.caller.id.as_deref();
            let head =
                classify_answer(response.status(), response.headers(), id, connection.is_first_answer());
            if is_leaving(response.headers()) {
                report_leaving(door, request, &lease, head, response.headers());
            }
            let result = match head {
                AnswerClass::Usable => None,
                AnswerClass::NotRun => Some(AttemptResult::NotRun(NotRun::Shed)),
                AnswerClass::OtherReplica => Some(AttemptResult::NotRun(NotRun::OtherReplica)),
                AnswerClass::Foreign => Some(AttemptResult::Indeterminate(Indeterminate::Foreign)),
            };
            let idle_timeout = keep_alive_timeout(response.headers());
            match head {
                AnswerClass::Usable | AnswerClass::NotRun => {
                    let notice = rate_notice(response.headers());
                    // A rejection is not bound to name the limit.
                    if head == AnswerClass::Usable || notice != RateNotice::Unlimited {
                        door.record_limit(&lease.pick, notice);
                    }
                    door.replica_answered(&lease.pick.id, lease.pick.started_unix_ms, connection.opened);
                }
                AnswerClass::OtherReplica => {
                    if answering_replica(response.headers()).is_some_and(|id| id != lease.pick.id) {
                        door.replica_gone(&lease.pick.id);
                    }
                }
                AnswerClass::Foreign => {}
            }
            if let Some(result) = result {
                record_outcome(door, &lease, &result);
                // An answer to another request leaves the outcome of this one unknown.
                if head != AnswerClass::Foreign {
                    lease.mark_resolved();
                }
                return result;
            }
            lease.record_progress();
            door.replicas().record_outcome(door.now_ms(), lease.pick.key, Outcome::Answered);
            AttemptResult::Head(Box::new(PendingAnswer { response, connection, lease, idle_timeout }))
        }
    }
}

/// sends over a pooled connection, or over a new one if the pooled one was closed before any byte went out.
async fn send(
    door: &Arc<Door>,
    request: &DoorRequest,
    lease: &Lease,
    last_event: Option<&str>,
) -> Result<(Connection, Response<Incoming>), AttemptResult> {
    let address = lease.pick.address;
    let pooled = door.connections.take(address);
    let mut is_new = pooled.is_none();
    let mut next = pooled;
    loop {
        let mut connection = match next.take() {
            Some(connection) => connection,
            None => match Connection::open(&door.spawner, address).await {
                Ok(connection) => connection,
                Err(_) => return Err(AttemptResult::NotRun(NotRun::Unreachable)),
            },
        };
        if request.needs_certain_software {
            match check_start(door, &mut connection, &lease.pick).await {
                ProcessStart::Listed => {}
                // A pooled connection may have been closed since, or belong to an earlier process.
                ProcessStart::Other | ProcessStart::Unanswered if !is_new => {
                    is_new = true;
                    continue;
                }
                ProcessStart::Other => return Err(AttemptResult::NotRun(NotRun::OtherProcess)),
                ProcessStart::Unanswered => return Err(AttemptResult::NotRun(NotRun::Unreachable)),
            }
        }
        // Connecting may have taken long, or the machine was suspended meanwhile.
        if request.remaining().is_zero() {
            return Err(AttemptResult::NotRun(NotRun::Expired));
        }
        // Before the attempt, which may be dropped while it is under way.
        let was_sent = request.mark_sent();
        let sent = connection.send(build_request(request, lease, last_event)).await;
        if matches!(sent, Err(SendError::NotSent)) {
            request.unmark_sent(was_sent);
        }
        match sent {
            Ok(response) => return Ok((connection, response)),
            Err(SendError::NotSent) if !is_new => is_new = true,
            Err(SendError::NotSent) => return Err(AttemptResult::NotRun(NotRun::Unreachable)),
            Err(SendError::Indeterminate) => return Err(AttemptResult::Indeterminate(Indeterminate::Broken)),
        }
    }
}

fn build_request(
    request: &DoorRequest,
    lease: &Lease,
    last_event: Option<&str>,
) -> Request<Full<bytes::Bytes>> {
    let order = ForwardOptions {
        replica: &lease.pick.id,
        timeout: request.remaining(),
        last_event_id: last_event,
        principal: &request.principal,
    };
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    *outgoing.headers_mut() = replica_headers(&request.headers, &order);
    outgoing
}

/// records that the replica that answered is leaving.
fn report_leaving(door: &Door, request: &DoorRequest, lease: &Lease, head: AnswerClass, headers: &HeaderMap) {
    let pick = &lease.pick;
    let (replica, started_unix_ms) = match head {
        // Another replica owns the address; the header is about that one.
        AnswerClass::OtherReplica => (answering_replica(headers), None),
        AnswerClass::Usable | AnswerClass::NotRun | AnswerClass::Foreign => {
            (Some(pick.id.clone()), Some(pick.started_unix_ms))
        }
    };
    if let Some(replica) = replica {
        door.connections.close_idle(pick.address);
        let leaving = LeavingReplica { replica, started_unix_ms, age_ms: 0 };
        door.record_leaving(&leaving, LeavingSource::Answer { request: request.caller.id.as_deref() });
    }
}

fn record_outcome(door: &Door, lease: &Lease, result: &AttemptResult) {
    let outcome = match result {
        AttemptResult::Head(_)
        | AttemptResult::NotRun(NotRun::Expired)
        | AttemptResult::Indeterminate(
            Indeterminate::TimedOut
            | Indeterminate::Slow
            | Indeterminate::CutOff
            | Indeterminate::Foreign
            | Indeterminate::TooLarge,
        ) => return,
        AttemptResult::NotRun(NotRun::Shed) => Outcome::Full,
        AttemptResult::NotRun(NotRun::OtherReplica | NotRun::OtherProcess | NotRun::Unreachable)
        | AttemptResult::Indeterminate(Indeterminate::Broken) => {
            door.connections.close_idle(lease.pick.address);
            door.reach.reach().record_failure();
            Outcome::ConnectionFailed
        }
    };
    door.replicas().record_outcome(door.now_ms(), lease.pick.key, outcome);
}

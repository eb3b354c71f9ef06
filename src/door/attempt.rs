use std::sync::Arc;
use std::time::Duration;

use flamingo_edge::timeout;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::door::connections::Connection;
use crate::door::connections::SendFailure;
use crate::door::door::Door;
use crate::door::door::LeavingSource;
use crate::door::lease::Lease;
use crate::door::request::DoorRequest;
use crate::platform::AnswerHead;
use crate::platform::ReplicaOrder;
use crate::platform::answering_replica;
use crate::platform::judge;
use crate::platform::keeps_connection;
use crate::platform::replica_headers;
use crate::platform::says_leaving;
use crate::routing::Outcome;
use crate::schema::LeavingReplica;

/// how one try at one replica went, up to the head of the answer.
pub(super) enum Tried {
    /// the head of the answer; the body follows.
    Head(Box<Head>),
    /// the replica has not run the request and never will.
    NotRun(NotRun),
    /// the replica may have run the request.
    Unclear(Unclear),
}

/// why a request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum NotRun {
    /// the replica says so: it is full, or the time ran out in its queue.
    Shed,
    /// another replica has the address.
    OtherReplica,
    /// no connection could be opened.
    Unreachable,
    /// the time was over before a byte went out, as after a pause of this process.
    Expired,
}

/// why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Unclear {
    /// the connection broke, or brought no answer in the protocol.
    Broken,
    /// the answer belongs to another request, or has no signature.
    Foreign,
    /// the answer is larger than any answer, or has no end.
    TooLarge,
    /// the answer takes far longer than usual; there is time for another replica.
    Slow,
    /// the time is over.
    TimedOut,
}

/// an answer whose head was read.
pub(super) struct Head {
    pub response: Response<Incoming>,
    pub connection: Connection,
    pub lease: Lease,
    /// how long the replica keeps the connection afterwards.
    pub keeps: Option<Duration>,
}

/// sends a request to the replica of a lease; with `patience`, an answer that takes longer is given up.
pub(super) async fn attempt(
    door: &Arc<Door>,
    request: &DoorRequest,
    lease: Lease,
    last_event: Option<&str>,
    patience: Option<Duration>,
) -> Tried {
    let left = request.left();
    let mut lease = lease;
    let limit = patience.map_or(left, |patience| patience.min(left));
    match timeout(limit, send(door, request, &lease, last_event)).await {
        None if limit < left => Tried::Unclear(Unclear::Slow),
        None => Tried::Unclear(Unclear::TimedOut),
        Some(Err(tried)) => {
            learn(door, &lease, &tried);
            match tried {
                Tried::Unclear(Unclear::Broken) => {
                    lease.broke().await;
                }
                _ => lease.settle(),
            }
            tried
        }
        Some(Ok((connection, response))) => {
            let id = request.caller.id.as_deref();
            let head = judge(response.status(), response.headers(), id);
            if says_leaving(response.headers()) {
                hear_leaving(door, request, &lease, head, response.headers());
            }
            let tried = match head {
                AnswerHead::Usable => None,
                AnswerHead::NotRun => Some(Tried::NotRun(NotRun::Shed)),
                AnswerHead::OtherReplica => Some(Tried::NotRun(NotRun::OtherReplica)),
                AnswerHead::Foreign => Some(Tried::Unclear(Unclear::Foreign)),
            };
            let keeps = keeps_connection(response.headers());
            if let Some(tried) = tried {
                learn(door, &lease, &tried);
                lease.settle();
                return tried;
            }
            door.replicas().record_outcome(door.now_ms(), lease.pick.key, Outcome::Answered);
            Tried::Head(Box::new(Head { response, connection, lease, keeps }))
        }
    }
}

/// sends over a kept connection, or over a new one if the kept one turns out closed before a byte went out.
async fn send(
    door: &Arc<Door>,
    request: &DoorRequest,
    lease: &Lease,
    last_event: Option<&str>,
) -> Result<(Connection, Response<Incoming>), Tried> {
    let address = lease.pick.address;
    let kept = door.connections.take(address);
    let mut fresh = kept.is_none();
    let mut next = kept;
    loop {
        let mut connection = match next.take() {
            Some(connection) => connection,
            None => match Connection::open(&door.spawner, address).await {
                Ok(connection) => connection,
                Err(_) => return Err(Tried::NotRun(NotRun::Unreachable)),
            },
        };
        // The connection may have taken long to open, or the machine was suspended meanwhile.
        if request.left().is_zero() {
            return Err(Tried::NotRun(NotRun::Expired));
        }
        match connection.send(message(request, lease, last_event)).await {
            Ok(response) => return Ok((connection, response)),
            Err(SendFailure::NotSent) if !fresh => fresh = true,
            Err(SendFailure::NotSent) => return Err(Tried::NotRun(NotRun::Unreachable)),
            Err(SendFailure::Unclear) => return Err(Tried::Unclear(Unclear::Broken)),
        }
    }
}

fn message(request: &DoorRequest, lease: &Lease, last_event: Option<&str>) -> Request<Full<bytes::Bytes>> {
    let order = ReplicaOrder { replica: &lease.pick.id, left: request.left(), last_event };
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.clone();
    *message.headers_mut() = replica_headers(&request.headers, &order);
    message
}

/// takes note that the replica that answered leaves.
fn hear_leaving(door: &Door, request: &DoorRequest, lease: &Lease, head: AnswerHead, headers: &HeaderMap) {
    let pick = &lease.pick;
    let (replica, started_unix_ms) = match head {
        // Another replica has the address; it speaks for itself.
        AnswerHead::OtherReplica => (answering_replica(headers), None),
        AnswerHead::Usable | AnswerHead::NotRun | AnswerHead::Foreign => {
            (Some(pick.id.clone()), Some(pick.started_unix_ms))
        }
    };
    if let Some(replica) = replica {
        door.connections.forget(pick.address);
        let leaving = LeavingReplica { replica, started_unix_ms, age_ms: 0 };
        door.hear_leaving(&leaving, LeavingSource::Answer { request: request.caller.id.as_deref() });
    }
}

fn learn(door: &Door, lease: &Lease, tried: &Tried) {
    let outcome = match tried {
        Tried::Head(_)
        | Tried::NotRun(NotRun::Expired)
        | Tried::Unclear(Unclear::TimedOut | Unclear::Slow | Unclear::Foreign | Unclear::TooLarge) => return,
        Tried::NotRun(NotRun::Shed) => Outcome::Full,
        Tried::NotRun(NotRun::OtherReplica | NotRun::Unreachable) | Tried::Unclear(Unclear::Broken) => {
            door.connections.forget(lease.pick.address);
            Outcome::ConnectionFailed
        }
    };
    door.replicas().record_outcome(door.now_ms(), lease.pick.key, outcome);
}
